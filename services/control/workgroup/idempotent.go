package workgroup

import (
	"context"
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/batch"
	"banyanwalk/core/idempotency"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/codec"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
)

func (s *Service) groupOfBegin(r *rpc.IdempotentBegin) (uint32, error) {
	return s.groupOf(r.Workspace).id, nil
}

func (s *Service) groupOfEnd(r *rpc.IdempotentEnd) (uint32, error) {
	return s.groupOf(r.Workspace).id, nil
}

// beginIdempotentOnLeader claims an idempotency key for a request, or returns the stored
// response if the request has completed under the key.
func (s *Service) beginIdempotentOnLeader(ctx context.Context, request *rpc.IdempotentBegin) (*rpc.IdempotentBeginResponse, error) {
	begin := &idempotency.Begin{
		Key:        idempotency.Key{Workspace: request.Workspace, Name: request.Key},
		ClaimID:    request.ClaimID,
		Idempotent: request.Idempotent,
		LeaseMS:    request.LeaseMS,
	}
	copy(begin.Digest[:], request.RequestDigest[:])
	result, err := s.groupOf(request.Workspace).executeIdempotency(ctx, &idempotency.Command{Begin: begin})
	if err != nil {
		return nil, err
	}
	switch result.Status {
	case idempotency.Claimed:
		return &rpc.IdempotentBeginResponse{State: rpc.IdempotentClaimed}, nil
	case idempotency.Pending:
		return &rpc.IdempotentBeginResponse{State: rpc.IdempotentPending, RetryAfterMS: result.RemainingMS}, nil
	case idempotency.Mismatch:
		return &rpc.IdempotentBeginResponse{State: rpc.IdempotentMismatch}, nil
	case idempotency.Lost:
		response, err := lostAttemptResponse(request.ClaimID)
		return &rpc.IdempotentBeginResponse{State: rpc.IdempotentDone, Response: response}, err
	}
	answer, err := s.readStoredResponse(ctx, result.Response)
	if err != nil {
		return nil, err
	}
	return &rpc.IdempotentBeginResponse{State: rpc.IdempotentDone, Response: answer}, nil
}

// lostAttemptResponse returns the response for a request whose first attempt was lost and may
// have run, so that it must not run again.
func lostAttemptResponse(requestID string) (rpc.StoredResponse, error) {
	e := outcome.New(outcome.AlreadyAttempted, outcome.MayHaveRun, "the first attempt under this key was lost and may have run")
	body, err := json.Marshal(httpapi.NewErrorBody(e, requestID))
	return rpc.StoredResponse{
		Status:  e.Code.HTTPStatus(),
		Headers: []rpc.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    body,
	}, err
}

func (s *Service) readStoredResponse(ctx context.Context, ref batch.Ref) (response rpc.StoredResponse, err error) {
	data, err := s.payloads.Read(ctx, ref)
	if err != nil {
		return response, err
	}
	if err := codec.Unmarshal(data, &response); err != nil {
		return response, outcome.New(outcome.Internal, outcome.NotRun, "decode stored answer: %v", err)
	}
	return response, nil
}

// endIdempotentOnLeader records the response of a request under its key, or gives the claim
// up. The response is stored on a quorum before the command that references it is proposed.
func (s *Service) endIdempotentOnLeader(ctx context.Context, request *rpc.IdempotentEnd) (*rpc.Ack, error) {
	g := s.groupOf(request.Workspace)
	key := idempotency.Key{Workspace: request.Workspace, Name: request.Key}
	if request.Abandon {
		_, err := g.executeIdempotency(ctx, &idempotency.Command{Abandon: &idempotency.Abandon{Key: key, ClaimID: request.ClaimID}})
		return &rpc.Ack{}, err
	}
	encoded, err := msgpack.Marshal(&request.Response)
	if err != nil {
		return nil, outcome.New(outcome.Internal, outcome.NotRun, "encode answer: %v", err)
	}
	ref, err := s.payloads.Put(ctx, encoded)
	if err != nil {
		return nil, err
	}
	_, err = g.executeIdempotency(ctx, &idempotency.Command{End: &idempotency.End{Key: key, ClaimID: request.ClaimID, Response: ref}})
	return &rpc.Ack{}, err
}
