package follow

import (
	"banyanwalk/core/fairshare"
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
)

// ShareRequest returns the request for a slot as core/fairshare takes it. The weight of a
// workspace is its rate.
func ShareRequest(table *routing.Table, r *rpc.SlotRequest) fairshare.Request {
	request := fairshare.Request{Workspace: r.Workspace, Priority: r.Priority}
	if workspace := table.Workspace(r.Workspace); workspace != nil {
		request.Weight = workspace.RatePerSecond
	}
	return request
}
