package workgroup

import (
	"context"

	"banyanwalk/core/batch"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/control/payload"
)

// chunker splits the contents of a file into payload records of equal size and stores
// them on a quorum of hosts.
type chunker struct {
	payloads *payload.Replicator
	buffer   []byte
	chunks   []batch.Ref
	bytes    int64
}

func newChunker(p *payload.Replicator) *chunker { return &chunker{payloads: p} }

// write appends data to the contents. Full records are stored immediately.
func (c *chunker) write(ctx context.Context, data []byte) error {
	c.bytes += int64(len(data))
	for len(data) > 0 {
		n := min(len(data), rpc.FileChunkBytes-len(c.buffer))
		c.buffer = append(c.buffer, data[:n]...)
		data = data[n:]
		if len(c.buffer) < rpc.FileChunkBytes {
			continue
		}
		if err := c.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// flush stores the buffer as a record. It does not reuse the buffer, because puts to
// the remaining hosts continue in the background after Put returns.
func (c *chunker) flush(ctx context.Context) error {
	if len(c.buffer) == 0 {
		return nil
	}
	ref, err := c.payloads.Put(ctx, c.buffer)
	if err != nil {
		return err
	}
	c.chunks = append(c.chunks, ref)
	c.buffer = nil
	return nil
}

// finish stores the remaining data and returns the references of all records.
func (c *chunker) finish(ctx context.Context) (batch.Output, error) {
	if err := c.flush(ctx); err != nil {
		return batch.Output{}, err
	}
	return batch.Output{Chunks: c.chunks, Bytes: c.bytes}, nil
}
