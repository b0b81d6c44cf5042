package rpc

import "banyanwalk/core/limit"

// LimitRequest is the request of MethodLimitAcquire. In one call a gateway requests
// rate-limit tokens for all its workspaces from the owner of the limits.
type LimitRequest = limit.Request

// LimitResponse is the response to LimitRequest.
type LimitResponse = limit.Response
