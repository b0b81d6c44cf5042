package payload

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	putTimeout   = 10 * time.Second // one record to one peer
	fetchTimeout = 5 * time.Second  // one record from one peer
	// maxInFlightBytes bounds the bytes in flight to one peer. A peer that hangs is
	// not sent records beyond it; its repairer fetches them later.
	maxInFlightBytes = 64 << 20
)

// Caller makes unary calls to peers. *wire.Pool implements it.
type Caller interface {
	Call(ctx context.Context, addr string, method wire.Method, request, response any) error
}

// Replicator stores records on a quorum of control hosts and reads them from
// any host that holds them. It is safe for concurrent use.
type Replicator struct {
	store  *Store
	peers  []*peer
	caller Caller
	ctx    context.Context // of the puts; ended by Close
	cancel context.CancelFunc
	wg     conc.WaitGroup // puts, which may outlast the Put call that started them
}

// peer is another control host.
type peer struct {
	addr          string       // wire address
	inFlightBytes atomic.Int64 // record bytes in flight
}

// NewReplicator returns a replicator for the store of this host. peers are the
// wire addresses of the other control hosts.
func NewReplicator(store *Store, peers []string, caller Caller) *Replicator {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replicator{store: store, caller: caller, ctx: ctx, cancel: cancel}
	for _, addr := range peers {
		r.peers = append(r.peers, &peer{addr: addr})
	}
	return r
}

// Register adds the handlers for the payload calls of peers.
func (r *Replicator) Register(s *wire.Server) {
	wire.HandleUnary(s, rpc.MethodPayloadPut, func(_ context.Context, request *rpc.PayloadPut) (*rpc.Ack, error) {
		if _, err := r.store.Put(request.Data); err != nil {
			return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "store record: %v", err)
		}
		return &rpc.Ack{}, nil
	})
	wire.HandleUnary(s, rpc.MethodPayloadGet, func(_ context.Context, request *rpc.PayloadGet) (*rpc.PayloadResponse, error) {
		data, err := r.store.Read(request.Ref)
		if err != nil {
			return nil, outcome.New(outcome.FileNotFound, outcome.NotRun, "record %s: %v", request.Ref.Digest, err)
		}
		return &rpc.PayloadResponse{Data: data}, nil
	})
}

// Put stores a record and returns once a quorum of hosts has synced it. Puts to
// the remaining hosts continue in the background and still read data, which the
// caller must not change afterwards.
func (r *Replicator) Put(ctx context.Context, data []byte) (batch.Ref, error) {
	hosts := len(r.peers) + 1
	results := make(chan error, hosts)
	r.wg.Go(func() {
		_, err := r.store.Put(data)
		results <- err
	})
	for _, p := range r.peers {
		r.wg.Go(func() { results <- r.putToPeer(p, data) })
	}
	quorum, stored := hosts/2+1, 0
	var errs error
	for range hosts {
		select {
		case <-ctx.Done():
			return batch.Ref{}, outcome.New(outcome.NoQuorum, outcome.NotRun, "payload was not stored on a quorum in time")
		case err := <-results:
			if err != nil {
				errs = errors.CombineErrors(errs, err)
				continue
			}
			stored++
		}
		if stored == quorum {
			return RefOf(data), nil
		}
	}
	return batch.Ref{}, outcome.New(outcome.NoQuorum, outcome.NotRun, "payload on %d of %d hosts: %v", stored, hosts, errs)
}

// putToPeer stores a record on one peer. It does not use the context of the
// caller of Put, so that the record reaches all hosts even after Put returns.
func (r *Replicator) putToPeer(p *peer, data []byte) error {
	size := int64(len(data))
	defer p.inFlightBytes.Add(-size)
	if p.inFlightBytes.Add(size) > maxInFlightBytes {
		return outcome.New(outcome.Overloaded, outcome.NotRun, "%s does not keep up", p.addr)
	}
	ctx, cancel := context.WithTimeout(r.ctx, putTimeout)
	defer cancel()
	var ack rpc.Ack
	return r.caller.Call(ctx, p.addr, rpc.MethodPayloadPut, &rpc.PayloadPut{Data: data}, &ack)
}

// Read returns a record from this host or, if it is missing here, from a peer. A
// record fetched from a peer is also stored on this host.
func (r *Replicator) Read(ctx context.Context, ref batch.Ref) ([]byte, error) {
	data, err := r.store.Read(ref)
	if err == nil {
		return data, nil
	}
	return r.fetch(ctx, ref)
}

// ReadSlices returns the concatenated slices of records. Missing records are
// fetched from peers.
func (r *Replicator) ReadSlices(ctx context.Context, parts []batch.Slice) ([]byte, error) {
	var joined []byte
	for _, part := range parts {
		data, err := r.store.ReadSlice(part)
		if errors.Is(err, ErrMissing) {
			if _, err = r.fetch(ctx, part.Record); err == nil {
				data, err = r.store.ReadSlice(part)
			}
		}
		if err != nil {
			return nil, err
		}
		joined = append(joined, data...)
	}
	return joined, nil
}

// fetch reads a record from the first peer that holds it and stores it on this
// host.
func (r *Replicator) fetch(ctx context.Context, ref batch.Ref) ([]byte, error) {
	var errs error
	for _, p := range r.peers {
		data, err := r.fetchFrom(ctx, p.addr, ref)
		if err != nil {
			errs = errors.CombineErrors(errs, err)
			continue
		}
		_, err = r.store.Put(data)
		return data, err
	}
	return nil, outcome.New(outcome.Unreachable, outcome.NotRun, "no host gave payload record %s: %v", ref.Digest, errs)
}

func (r *Replicator) fetchFrom(ctx context.Context, addr string, ref batch.Ref) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var response rpc.PayloadResponse
	if err := r.caller.Call(ctx, addr, rpc.MethodPayloadGet, &rpc.PayloadGet{Ref: ref}, &response); err != nil {
		return nil, err
	}
	if RefOf(response.Data) != ref {
		return nil, errors.Newf("%s returned contents that do not match the digest of record %s", addr, ref.Digest)
	}
	return response.Data, nil
}

// Wait blocks until no put is in flight.
func (r *Replicator) Wait() { r.wg.Wait() }

// Close cancels the puts in flight and waits for them to return.
func (r *Replicator) Close() {
	r.cancel()
	r.wg.Wait()
}
