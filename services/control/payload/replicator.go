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
	putTimeout = 10 * time.Second // one record on one peer
	getTimeout = 5 * time.Second
	// maxInFlight bounds the bytes on their way to one peer. Beyond it a peer
	// that hangs misses records; its repairer fetches them later.
	maxInFlight = 64 << 20
)

// Caller makes unary calls to peers. A *wire.Pool is one.
type Caller interface {
	Call(ctx context.Context, addr string, method wire.Method, request, response any) error
}

// Replicator stores records on a quorum of control hosts and reads them from
// any that holds them. It is safe for concurrent use.
type Replicator struct {
	store *Store
	peers []*peer
	calls Caller
	life  context.Context
	stop  context.CancelFunc
	wg    conc.WaitGroup // puts that go on behind a reached quorum
}

// peer is another control host.
type peer struct {
	addr     string       // wire address
	inFlight atomic.Int64 // bytes of records on their way
}

// NewReplicator returns a replicator over the store of this host. peers are
// the wire addresses of the other hosts.
func NewReplicator(store *Store, peers []string, calls Caller) *Replicator {
	life, stop := context.WithCancel(context.Background())
	r := &Replicator{store: store, calls: calls, life: life, stop: stop}
	for _, addr := range peers {
		r.peers = append(r.peers, &peer{addr: addr})
	}
	return r
}

// Register adds the handlers of the calls between hosts.
func (r *Replicator) Register(s *wire.Server) {
	wire.HandleUnary(s, rpc.MethodPayloadPut, func(_ context.Context, request *rpc.PayloadPut) (*rpc.Ack, error) {
		if _, err := r.store.Put(request.Data); err != nil {
			return nil, outcome.New(outcome.Internal, outcome.MayHaveRun, "store record: %v", err)
		}
		return &rpc.Ack{}, nil
	})
	wire.HandleUnary(s, rpc.MethodPayloadGet, func(_ context.Context, request *rpc.PayloadGet) (*rpc.PayloadData, error) {
		data, err := r.store.Read(request.Ref)
		if err != nil {
			return nil, outcome.New(outcome.FileNotFound, outcome.NotRun, "record %s: %v", request.Ref.Digest, err)
		}
		return &rpc.PayloadData{Data: data}, nil
	})
}

// Put stores a record and returns when a quorum of hosts has synced it. Puts
// to the remaining hosts go on behind.
func (r *Replicator) Put(ctx context.Context, data []byte) (batch.Ref, error) {
	hosts := len(r.peers) + 1
	results := make(chan error, hosts)
	r.wg.Go(func() {
		_, err := r.store.Put(data)
		results <- err
	})
	for _, p := range r.peers {
		r.wg.Go(func() { results <- r.putOn(p, data) })
	}
	quorum, stored := hosts/2+1, 0
	var failure error
	for range hosts {
		select {
		case <-ctx.Done():
			return batch.Ref{}, outcome.New(outcome.NoQuorum, outcome.NotRun, "payload was not stored on a quorum in time")
		case err := <-results:
			if err != nil {
				failure = errors.CombineErrors(failure, err)
				continue
			}
			stored++
		}
		if stored == quorum {
			return RefOf(data), nil
		}
	}
	return batch.Ref{}, outcome.New(outcome.NoQuorum, outcome.NotRun, "payload on %d of %d hosts: %v", stored, hosts, failure)
}

// putOn is not bound to the call that waits for the quorum, so that the record
// reaches all hosts.
func (r *Replicator) putOn(p *peer, data []byte) error {
	size := int64(len(data))
	defer p.inFlight.Add(-size)
	if p.inFlight.Add(size) > maxInFlight {
		return outcome.New(outcome.Overloaded, outcome.NotRun, "%s does not keep up", p.addr)
	}
	ctx, cancel := context.WithTimeout(r.life, putTimeout)
	defer cancel()
	var ack rpc.Ack
	return r.calls.Call(ctx, p.addr, rpc.MethodPayloadPut, &rpc.PayloadPut{Data: data}, &ack)
}

// Read returns a record from this host or, when it is missing here, from a
// peer. It is then stored here as well.
func (r *Replicator) Read(ctx context.Context, ref batch.Ref) ([]byte, error) {
	data, err := r.store.Read(ref)
	if err == nil {
		return data, nil
	}
	return r.fetch(ctx, ref)
}

// ReadSlices returns the joined parts of records.
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

// fetch copies a record from the first peer that holds it.
func (r *Replicator) fetch(ctx context.Context, ref batch.Ref) ([]byte, error) {
	var failure error
	for _, p := range r.peers {
		data, err := r.fetchFrom(ctx, p.addr, ref)
		if err != nil {
			failure = errors.CombineErrors(failure, err)
			continue
		}
		_, err = r.store.Put(data)
		return data, err
	}
	return nil, outcome.New(outcome.Unreachable, outcome.NotRun, "no host gave payload record %s: %v", ref.Digest, failure)
}

func (r *Replicator) fetchFrom(ctx context.Context, addr string, ref batch.Ref) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	var answer rpc.PayloadData
	if err := r.calls.Call(ctx, addr, rpc.MethodPayloadGet, &rpc.PayloadGet{Ref: ref}, &answer); err != nil {
		return nil, err
	}
	if RefOf(answer.Data) != ref {
		return nil, errors.Newf("%s gave other contents for record %s", addr, ref.Digest)
	}
	return answer.Data, nil
}

// Wait returns when no put is under way.
func (r *Replicator) Wait() { r.wg.Wait() }

// Close ends the puts under way.
func (r *Replicator) Close() {
	r.stop()
	r.wg.Wait()
}
