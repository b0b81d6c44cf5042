package rpc

import "banyanwalk/core/limit"

// LimitRequest is one exchange of a gateway with the owner of the limits, for
// all workspaces: MethodLimitAcquire.
type LimitRequest = limit.Request

// LimitAnswer answers LimitRequest.
type LimitAnswer = limit.Answer
