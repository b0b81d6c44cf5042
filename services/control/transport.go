package control

import (
	"context"
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
	bulkQueueSize   = 4       // batches per peer
	bulkBytes       = 1 << 20 // from this size on a batch counts as bulk
	partBytes       = 512 << 10
	maxBatchBytes   = 1 << 30
	entryExtraBytes = 32 // of an entry besides its data
)

// transport sends the replicas' messages: two streams per peer, each fed from a
// bounded queue, so that a snapshot does not hold up heartbeats. What does not
// fit a queue is dropped; the replicas repeat what matters. It implements
// replica.Transport.
type transport struct {
	cfg     *Config
	pool    *wire.Pool // apart from other calls, so that those do not delay heartbeats
	quick   map[uint64]chan rpc.RaftBatch
	bulk    map[uint64]chan rpc.RaftBatch
	dropped metrics.Meter
}

func newTransport(cfg *Config) *transport {
	t := &transport{
		cfg:     cfg,
		pool:    wire.NewPool(cfg.ClientTLS),
		quick:   make(map[uint64]chan rpc.RaftBatch),
		bulk:    make(map[uint64]chan rpc.RaftBatch),
		dropped: metrics.GetOrRegisterMeter("control.raft.dropped", cfg.Metrics),
	}
	for id := range cfg.Peers {
		if id != cfg.ID {
			t.quick[id] = make(chan rpc.RaftBatch, raftQueueSize)
			t.bulk[id] = make(chan rpc.RaftBatch, bulkQueueSize)
		}
	}
	return t
}

// Send queues messages for a peer. It never blocks.
func (t *transport) Send(group uint32, to uint64, messages []raft.Message) {
	queue := t.quick[to]
	if sizeOf(messages) >= bulkBytes {
		queue = t.bulk[to]
	}
	select {
	case queue <- rpc.RaftBatch{Group: group, Messages: messages}:
	default: // full, or not a peer
		t.dropped.Mark(int64(len(messages)))
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

func (t *transport) run(ctx context.Context) error {
	defer t.pool.Close()
	var wg conc.WaitGroup
	for id := range t.quick {
		wg.Go(func() { t.feed(ctx, t.cfg.Peers[id], t.quick[id]) })
		wg.Go(func() { t.feed(ctx, t.cfg.Peers[id], t.bulk[id]) })
	}
	wg.Wait()
	return nil
}

// feed keeps a stream to one peer and dials again after a failure. Messages
// that were due in the meantime are dropped.
func (t *transport) feed(ctx context.Context, addr string, queue <-chan rpc.RaftBatch) {
	for ctx.Err() == nil {
		stream, err := t.pool.Open(ctx, addr, rpc.MethodRaft)
		if err != nil {
			t.discard(ctx, queue)
			continue
		}
		_ = t.pump(ctx, stream, queue)
		stream.Close()
	}
}

// pump sends until the stream fails.
func (t *transport) pump(ctx context.Context, stream *wire.Stream, queue <-chan rpc.RaftBatch) error {
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

// receiveBatch reads the next batch, whole.
func receiveBatch(stream *wire.Stream) (*rpc.RaftBatch, error) {
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

// discard drops messages for the length of one redial pause.
func (t *transport) discard(ctx context.Context, queue <-chan rpc.RaftBatch) {
	pause := time.NewTimer(raftRedialPause)
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

// receiveRaft takes the messages of one peer until its stream ends.
func (s *Server) receiveRaft(_ context.Context, stream *wire.Stream) error {
	for {
		batch, err := receiveBatch(stream)
		if err != nil {
			return err
		}
		r, err := s.Group(batch.Group)
		if err != nil {
			continue // a peer with more groups than this host
		}
		for i := range batch.Messages {
			r.Step(batch.Messages[i])
		}
	}
}
