package batch

import "cmp"

const (
	initialCostMS   = 1000 // expected slot time until an item has completed
	costSamples     = 8    // window of the moving average of a workspace, items
	meanCostSamples = 64   // window of the moving average of a model, items
	minCostMS       = 1    // minimum charge of an item that has run
)

// costKey identifies the mean slot time of a workspace's items on a model. The
// empty workspace stands for the items of all workspaces.
type costKey struct {
	model     string
	workspace string
}

func compareCostKeys(a, b costKey) int {
	return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.workspace, b.workspace))
}

// expectedCost returns the expected slot time of a workspace's items on a model,
// in milliseconds. A workspace without completed items gets the mean of the
// model.
func (m *Machine) expectedCost(model, workspaceName string) int64 {
	if c, ok := m.costs[costKey{model: model, workspace: workspaceName}]; ok {
		return c
	}
	if c, ok := m.costs[costKey{model: model}]; ok {
		return c
	}
	return initialCostMS
}

// updateCost adds the slot time of a completed item to the moving averages of
// its workspace and its model.
func (m *Machine) updateCost(model, workspaceName string, tookMS int64) {
	own, all := m.expectedCost(model, workspaceName), m.expectedCost(model, "")
	m.costs[costKey{model: model, workspace: workspaceName}] = max(minCostMS, own+(tookMS-own)/costSamples)
	m.costs[costKey{model: model}] = max(minCostMS, all+(tookMS-all)/meanCostSamples)
}

// correctCharge replaces the charge of an ended lease by the slot time that the
// attempt took, or by zero if the item did not run.
func (m *Machine) correctCharge(l *lease, ran bool) {
	took := int64(0)
	if ran {
		took = max(minCostMS, m.now-l.grantedAt)
	}
	sched, ok := m.schedulers[l.job.templates[l.job.items[l.item].template].Model]
	if !ok {
		return
	}
	if i, found := sched.find(l.job.Workspace); found {
		sched.shares[i].deficit += l.charge - took
	}
}
