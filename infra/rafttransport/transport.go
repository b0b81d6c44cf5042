// Package rafttransport carries the messages of replicated groups between
// hosts: two streams per peer, each fed from a bounded queue, so that a
// snapshot does not hold up heartbeats. What does not fit a queue is dropped;
// the replicas repeat what matters.
package rafttransport

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/raft"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	quickQueueSize  = 256     // batches per peer
	bulkQueueSize   = 4       // batches per peer
	bulkBytes       = 1 << 20 // from this size on a batch counts as bulk
	partBytes       = 512 << 10
	maxBatchBytes   = 1 << 30
	entryExtraBytes = 32 // of an entry besides its data
	redialPause     = 100 * time.Millisecond
)

// Resolve returns the wire address of a replica's host.
type Resolve func(id uint64) (addr string, found bool)

// Transport sends the messages of one host. It is safe for concurrent use.
type Transport struct {
	self    uint64
	resolve Resolve
	pool    *wire.Pool // apart from other calls, so that those do not delay heartbeats
	dropped metrics.Meter
	added   chan *peer

	mu    sync.Mutex
	peers map[uint64]*peer
}

type peer struct {
	addr  string
	quick chan rpc.RaftBatch
	bulk  chan rpc.RaftBatch
}

// New returns the transport of the host self. tlsConfig may be nil.
func New(self uint64, resolve Resolve, tlsConfig *tls.Config, dropped metrics.Meter) *Transport {
	return &Transport{
		self:    self,
		resolve: resolve,
		pool:    wire.NewPool(tlsConfig),
		dropped: dropped,
		added:   make(chan *peer, 1),
		peers:   make(map[uint64]*peer),
	}
}

// Send queues messages for a peer. It never blocks.
func (t *Transport) Send(group uint32, to uint64, messages []raft.Message) {
	p := t.peer(to)
	if p == nil {
		t.dropped.Mark(int64(len(messages)))
		return
	}
	queue := p.quick
	if sizeOf(messages) >= bulkBytes {
		queue = p.bulk
	}
	select {
	case queue <- rpc.RaftBatch{Group: group, Messages: messages}:
	default:
		t.dropped.Mark(int64(len(messages)))
	}
}

// peer returns the queues of a host. It returns nil for one that is not known,
// and while Run has not yet taken up the one before.
func (t *Transport) peer(id uint64) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[id]; p != nil {
		return p
	}
	addr, found := t.resolve(id)
	if !found || id == t.self {
		return nil
	}
	p := &peer{
		addr:  addr,
		quick: make(chan rpc.RaftBatch, quickQueueSize),
		bulk:  make(chan rpc.RaftBatch, bulkQueueSize),
	}
	select {
	case t.added <- p:
		t.peers[id] = p
		return p
	default:
		return nil
	}
}

// Run sends what is queued until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	defer t.pool.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-t.added:
			wg.Go(func() { t.feed(ctx, p.addr, p.quick) })
			wg.Go(func() { t.feed(ctx, p.addr, p.bulk) })
		}
	}
}

// sizeOf estimates the encoded size of messages, in bytes.
func sizeOf(messages []raft.Message) int {
	size := 0
	for i := range messages {
		for j := range messages[i].Entries {
			size += len(messages[i].Entries[j].Data) + entryExtraBytes
		}
		if messages[i].Snapshot != nil {
			size += len(messages[i].Snapshot.Data)
		}
	}
	return size
}

// feed keeps a stream to one peer and dials again after a failure. Messages
// that were due in the meantime are dropped.
func (t *Transport) feed(ctx context.Context, addr string, queue <-chan rpc.RaftBatch) {
	for ctx.Err() == nil {
		stream, err := t.pool.Open(ctx, addr, rpc.MethodRaft)
		if err != nil {
			t.discard(ctx, queue)
			continue
		}
		_ = t.pump(ctx, stream, queue) // the replicas repeat what is lost
		stream.Close()
	}
}

// pump sends until the stream fails.
func (t *Transport) pump(ctx context.Context, stream *wire.Stream, queue <-chan rpc.RaftBatch) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch := <-queue:
			if err := sendBatch(stream, &batch); err != nil {
				t.dropped.Mark(int64(len(batch.Messages)))
				return err
			}
		}
	}
}

// sendBatch sends a batch, in parts when it would not fit a frame.
func sendBatch(stream *wire.Stream, batch *rpc.RaftBatch) error {
	if sizeOf(batch.Messages) < bulkBytes {
		return stream.Send(batch)
	}
	encoded, err := msgpack.Marshal(batch)
	if err != nil {
		return errors.Wrap(err, "encode raft batch")
	}
	for len(encoded) > 0 {
		n := min(partBytes, len(encoded))
		part := rpc.RaftBatch{Part: encoded[:n], More: n < len(encoded)}
		if err := stream.Send(&part); err != nil {
			return err
		}
		encoded = encoded[n:]
	}
	return nil
}

// discard drops messages for the length of one redial pause.
func (t *Transport) discard(ctx context.Context, queue <-chan rpc.RaftBatch) {
	pause := time.NewTimer(redialPause)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
			return
		case batch := <-queue:
			t.dropped.Mark(int64(len(batch.Messages)))
		}
	}
}

// Receive reads the next batch of a stream, whole.
func Receive(stream *wire.Stream) (*rpc.RaftBatch, error) {
	var parts []byte
	for {
		batch := new(rpc.RaftBatch)
		if err := stream.Recv(batch); err != nil {
			return nil, errors.Wrap(err, "raft stream")
		}
		if len(batch.Part) == 0 {
			return batch, nil
		}
		parts = append(parts, batch.Part...)
		if len(parts) > maxBatchBytes {
			return nil, errors.Newf("raft batch exceeds %d bytes", maxBatchBytes)
		}
		if !batch.More {
			whole := new(rpc.RaftBatch)
			return whole, errors.Wrap(msgpack.Unmarshal(parts, whole), "decode raft batch")
		}
	}
}
