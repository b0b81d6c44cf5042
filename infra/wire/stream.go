package wire

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/outcome"
)

// Method numbers the calls between processes.
type Method uint16

// openHeader is the first message on a stream.
type openHeader struct {
	Method    Method `msgpack:"m"`
	TimeoutMS int64  `msgpack:"t"` // 0: none
}

// Stream is one call: typed messages in both directions, in order. Send may
// be used by one goroutine and Recv by another.
type Stream struct {
	conn   net.Conn
	sendMu sync.Mutex
	once   sync.Once
	cancel context.CancelFunc // server side: ends the handler's context
	spawn  func(func())       // server side: starts a goroutine that the server waits for
	stop   func() bool        // client side: detaches from the caller's context
}

// Send writes one message. It blocks while the peer's window is full.
func (s *Stream) Send(message any) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return writeFrame(s.conn, frameData, message)
}

// CloseSend ends the sending direction; the peer's Recv then returns io.EOF.
func (s *Stream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return writeFrame(s.conn, frameEnd, nil)
}

func (s *Stream) sendError(e *outcome.Error) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return writeFrame(s.conn, frameError, e)
}

// Recv reads the next message into out. It returns io.EOF after the peer's
// regular end, the peer's *outcome.Error after a failure, and any other error
// when the connection broke first.
func (s *Stream) Recv(out any) error {
	kind, body, err := readFrame(s.conn)
	if err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF // the peer vanished without an end frame
		}
		return err
	}
	switch kind {
	case frameData:
		return errors.Wrap(msgpack.Unmarshal(body, out), "decode frame")
	case frameEnd:
		return io.EOF
	case frameError:
		var e outcome.Error
		if err := msgpack.Unmarshal(body, &e); err != nil {
			return errors.Wrap(err, "decode error frame")
		}
		return &e
	default:
		return errors.Wrapf(errBadFrame, "unexpected kind %d", kind)
	}
}

// CancelOnClose makes the handler's context end as soon as the peer closes
// the stream or vanishes. The handler must not call Recv afterwards.
func (s *Stream) CancelOnClose() {
	s.spawn(func() {
		for {
			if _, _, err := readFrame(s.conn); err != nil {
				s.cancel()
				return
			}
		}
	})
}

// SetDeadline bounds all later reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close releases the stream. A peer that still sends gets an error.
func (s *Stream) Close() error {
	s.once.Do(func() {
		if s.stop != nil {
			s.stop()
		}
		if s.cancel != nil {
			s.cancel()
		}
		s.conn.Close()
	})
	return nil
}
