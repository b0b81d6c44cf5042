package wire

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/codec"
)

// Method identifies a call on the wire by number.
type Method uint16

// openHeader is the first message on a stream.
type openHeader struct {
	Method    Method `msgpack:"m"`
	TimeoutMS int64  `msgpack:"t"` // milliseconds; 0 means no deadline
}

// Stream is one call: an ordered sequence of messages in each direction. One
// goroutine may call Send while another calls Recv.
type Stream struct {
	conn           net.Conn
	sendMu         sync.Mutex
	closeOnce      sync.Once
	cancel         context.CancelFunc // server side: cancels the handler's context
	startGoroutine func(func())       // server side: the server waits for the goroutine on shutdown
	detach         func() bool        // client side: stops the caller's context from aborting the stream
}

// Send writes one message. It blocks while the peer's receive window is full.
func (s *Stream) Send(message any) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return writeFrame(s.conn, frameData, message)
}

// CloseSend closes the sending direction; the peer's Recv then returns io.EOF.
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

// Recv reads the next message into out. It returns io.EOF when the peer closed its
// sending direction, the *outcome.Error that the peer sent if its handler failed,
// and another error if the connection broke before either.
func (s *Stream) Recv(out any) error {
	kind, body, err := readFrame(s.conn)
	if err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF // the stream closed without an end frame
		}
		return err
	}
	switch kind {
	case frameData:
		return errors.Wrap(codec.Unmarshal(body, out), "decode frame")
	case frameEnd:
		return io.EOF
	case frameError:
		var e outcome.Error
		if err := codec.Unmarshal(body, &e); err != nil {
			return errors.Wrap(err, "decode error frame")
		}
		return &e
	default:
		return errors.Wrapf(errBadFrame, "unexpected kind %d", kind)
	}
}

// CancelOnClose cancels the handler's context as soon as the peer closes the
// stream or the connection is lost. It reads and discards further frames, so the
// handler must not call Recv afterwards.
func (s *Stream) CancelOnClose() {
	s.startGoroutine(func() {
		for {
			if _, _, err := readFrame(s.conn); err != nil {
				s.cancel()
				return
			}
		}
	})
}

// SetDeadline sets the deadline of pending and later reads and writes.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close releases the stream. If the peer still sends, its Send fails.
func (s *Stream) Close() error {
	s.closeOnce.Do(func() {
		if s.detach != nil {
			s.detach()
		}
		if s.cancel != nil {
			s.cancel()
		}
		s.conn.Close()
	})
	return nil
}
