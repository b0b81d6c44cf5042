// Package rafttransport sends the Raft messages of replicated groups between
// hosts. Each peer has two streams with a bounded queue each, one for small and
// one for bulk batches, so that a snapshot does not delay heartbeats. Messages
// that do not fit into their queue are dropped; Raft tolerates the loss and
// retransmits.
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
	"banyanwalk/infra/codec"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	smallQueueSize     = 256     // batches per peer
	bulkQueueSize      = 4       // batches per peer
	bulkThresholdBytes = 1 << 20 // batches of at least this size use the bulk queue
	maxPartBytes       = 512 << 10
	maxBatchBytes      = 1 << 30
	entryOverheadBytes = 32 // encoded size of an entry besides its data
	redialDelay        = 100 * time.Millisecond
)

// Resolve returns the wire address of the host that runs the replica id.
type Resolve func(id uint64) (addr string, found bool)

// Transport sends the Raft messages of one host to its peers. It is safe for
// concurrent use.
type Transport struct {
	self     uint64
	resolve  Resolve
	pool     *wire.Pool // not shared with other calls, so that those do not delay heartbeats
	dropped  metrics.Meter
	newPeers chan *peer

	mu    sync.Mutex
	peers map[uint64]*peer
}

type peer struct {
	addr  string
	small chan rpc.RaftBatch
	bulk  chan rpc.RaftBatch
}

// New returns the transport of the host self. dropped counts the messages that
// could not be sent. tlsConfig may be nil.
func New(self uint64, resolve Resolve, tlsConfig *tls.Config, dropped metrics.Meter) *Transport {
	return &Transport{
		self:     self,
		resolve:  resolve,
		pool:     wire.NewPool(tlsConfig),
		dropped:  dropped,
		newPeers: make(chan *peer, 1),
		peers:    make(map[uint64]*peer),
	}
}

// Send queues messages for a peer. It never blocks: if the peer is unknown or its
// queue is full, the messages are dropped.
func (t *Transport) Send(group uint32, to uint64, messages []raft.Message) {
	p := t.peer(to)
	if p == nil {
		t.dropped.Mark(int64(len(messages)))
		return
	}
	queue := p.small
	if estimateSize(messages) >= bulkThresholdBytes {
		queue = p.bulk
	}
	select {
	case queue <- rpc.RaftBatch{Group: group, Messages: messages}:
	default:
		t.dropped.Mark(int64(len(messages)))
	}
}

// peer returns the queues of a host and creates them on first use. It returns nil
// if the host is unknown or this one, and while Run has not yet started the streams
// of the peer created before.
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
		small: make(chan rpc.RaftBatch, smallQueueSize),
		bulk:  make(chan rpc.RaftBatch, bulkQueueSize),
	}
	select {
	case t.newPeers <- p:
		t.peers[id] = p
		return p
	default:
		return nil
	}
}

// Run sends the queued messages until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	defer t.pool.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-t.newPeers:
			wg.Go(func() { t.maintainStream(ctx, p.addr, p.small) })
			wg.Go(func() { t.maintainStream(ctx, p.addr, p.bulk) })
		}
	}
}

// estimateSize estimates the encoded size of messages, in bytes.
func estimateSize(messages []raft.Message) int {
	size := 0
	for i := range messages {
		for j := range messages[i].Entries {
			size += len(messages[i].Entries[j].Data) + entryOverheadBytes
		}
		if messages[i].Snapshot != nil {
			size += len(messages[i].Snapshot.Data)
		}
	}
	return size
}

// maintainStream keeps a stream to one peer open and reopens it after a failure.
// Messages that are queued while the peer is unreachable are dropped.
func (t *Transport) maintainStream(ctx context.Context, addr string, queue <-chan rpc.RaftBatch) {
	for ctx.Err() == nil {
		stream, err := t.pool.Open(ctx, addr, rpc.MethodRaft)
		if err != nil {
			t.dropUntilRedial(ctx, queue)
			continue
		}
		_ = t.sendQueued(ctx, stream, queue) // Raft retransmits lost messages
		stream.Close()
	}
}

// sendQueued sends batches from queue until the stream fails or ctx ends.
func (t *Transport) sendQueued(ctx context.Context, stream *wire.Stream, queue <-chan rpc.RaftBatch) error {
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

// sendBatch sends a batch. A bulk batch is encoded and split into parts, since it
// may exceed the frame size.
func sendBatch(stream *wire.Stream, batch *rpc.RaftBatch) error {
	if estimateSize(batch.Messages) < bulkThresholdBytes {
		return stream.Send(batch)
	}
	encoded, err := msgpack.Marshal(batch)
	if err != nil {
		return errors.Wrap(err, "encode raft batch")
	}
	for len(encoded) > 0 {
		n := min(maxPartBytes, len(encoded))
		part := rpc.RaftBatch{Part: encoded[:n], More: n < len(encoded)}
		if err := stream.Send(&part); err != nil {
			return err
		}
		encoded = encoded[n:]
	}
	return nil
}

// dropUntilRedial drops queued messages for redialDelay.
func (t *Transport) dropUntilRedial(ctx context.Context, queue <-chan rpc.RaftBatch) {
	timer := time.NewTimer(redialDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case batch := <-queue:
			t.dropped.Mark(int64(len(batch.Messages)))
		}
	}
}

// Receive reads the next batch from a stream and reassembles it if it was sent in
// parts.
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
			assembled := new(rpc.RaftBatch)
			return assembled, errors.Wrap(codec.Unmarshal(parts, assembled), "decode raft batch")
		}
	}
}
