// Package wire is the RPC transport between banyanwalk's own processes. It sends
// msgpack messages as length-prefixed frames and multiplexes many streams, each
// with its own flow control, over one TCP connection per pair of processes. It
// does not interpret the messages and never retries.
package wire

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"banyanwalk/core/outcome"
)

const (
	// ProtocolVersion is exchanged in the handshake of each connection. Peers
	// with different versions refuse each other.
	ProtocolVersion   uint16 = 1
	helloMagic        uint32 = 0x62616e79
	helloBytes               = 6
	dialTimeout              = 500 * time.Millisecond
	helloTimeout             = 2 * time.Second
	keepAliveInterval        = 1 * time.Second
	writeTimeout             = 2 * time.Second // also bounds the wait for a keep-alive response, so a silent connection is closed after 3 s
	maxStreamWindow          = 1 << 20         // unacknowledged bytes per stream
	acceptBacklog            = 1024            // streams that the peer has opened and the server has not accepted yet
)

// Conn is one connection to a peer process. It is safe for concurrent use.
type Conn struct {
	session *yamux.Session
}

// Dial connects to addr and checks the peer's protocol version. With a nil
// tlsConfig the connection is not encrypted.
func Dial(ctx context.Context, addr string, tlsConfig *tls.Config) (*Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		if ctx.Err() != nil {
			return nil, callError(ctx, err).WithOutcome(outcome.NotRun)
		}
		return nil, unreachableError(addr, err)
	}
	if tlsConfig != nil {
		raw = tls.Client(raw, withServerName(tlsConfig, addr))
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	err = exchangeHello(raw)
	if !stop() && err == nil {
		err = callError(ctx, ctx.Err()).WithOutcome(outcome.NotRun)
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	session, err := yamux.Client(raw, muxConfig())
	if err != nil {
		raw.Close()
		return nil, unreachableError(addr, err)
	}
	return &Conn{session: session}, nil
}

// withServerName returns tlsConfig with the host part of addr as the server name
// to verify, unless a server name is set already.
func withServerName(tlsConfig *tls.Config, addr string) *tls.Config {
	if tlsConfig.ServerName != "" {
		return tlsConfig
	}
	dup := tlsConfig.Clone()
	dup.ServerName, _, _ = net.SplitHostPort(addr)
	return dup
}

// Open starts a stream for method. The stream is aborted when ctx ends; the
// deadline of ctx, if any, is sent to the peer.
func (c *Conn) Open(ctx context.Context, method Method) (*Stream, error) {
	raw, err := c.session.OpenStream()
	if err != nil {
		return nil, unreachableError(c.session.RemoteAddr().String(), err)
	}
	header := openHeader{Method: method}
	if deadline, ok := ctx.Deadline(); ok {
		header.TimeoutMS = max(1, time.Until(deadline).Milliseconds())
	}
	if err := writeFrame(raw, frameOpen, header); err != nil {
		raw.Close()
		return nil, unreachableError(c.session.RemoteAddr().String(), err)
	}
	s := &Stream{conn: raw}
	s.detach = context.AfterFunc(ctx, func() { abort(raw) })
	return s, nil
}

// abort unblocks pending reads and writes, then closes the stream.
func abort(raw *yamux.Stream) {
	_ = raw.SetDeadline(time.Unix(1, 0))
	raw.Close()
}

// Call sends one request and reads one response. Errors that occur before the
// request is sent have outcome NotRun, later ones MayHaveRun.
func (c *Conn) Call(ctx context.Context, method Method, request, response any) error {
	s, err := c.Open(ctx, method)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(request); err != nil {
		return callError(ctx, err)
	}
	if err := s.Recv(response); err != nil {
		return callError(ctx, err)
	}
	return nil
}

// Closed reports whether the connection has ended.
func (c *Conn) Closed() bool { return c.session.IsClosed() }

// CloseChan is closed when the connection has ended.
func (c *Conn) CloseChan() <-chan struct{} { return c.session.CloseChan() }

// Close ends the connection and all its streams.
func (c *Conn) Close() error { return c.session.Close() }

// callError converts a failure that occurred after the request may have been
// sent. The result tells an expired deadline, a cancelled context and a lost
// connection apart.
func callError(ctx context.Context, err error) *outcome.Error {
	var e *outcome.Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineExceeded, outcome.MayHaveRun, "no answer before the deadline")
	}
	if ctx.Err() != nil {
		return outcome.New(outcome.Cancelled, outcome.MayHaveRun, "call cancelled")
	}
	return outcome.New(outcome.Unreachable, outcome.MayHaveRun, "connection lost: %v", err)
}

// unreachableError reports that addr could not be reached and the request was not
// sent.
func unreachableError(addr string, err error) error {
	return outcome.New(outcome.Unreachable, outcome.NotRun, "%s: %v", addr, err)
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = maxStreamWindow
	c.LogOutput = io.Discard
	return c
}

// exchangeHello performs the handshake: both sides send the magic number and
// their protocol version and check those of the peer.
func exchangeHello(raw net.Conn) error {
	if err := raw.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return unreachableError(raw.RemoteAddr().String(), err)
	}
	var hello [helloBytes]byte
	binary.BigEndian.PutUint32(hello[:], helloMagic)
	binary.BigEndian.PutUint16(hello[4:], ProtocolVersion)
	if _, err := raw.Write(hello[:]); err != nil {
		return unreachableError(raw.RemoteAddr().String(), err)
	}
	var peer [helloBytes]byte
	if _, err := io.ReadFull(raw, peer[:]); err != nil {
		return unreachableError(raw.RemoteAddr().String(), err)
	}
	if binary.BigEndian.Uint32(peer[:]) != helloMagic {
		return outcome.New(outcome.BadFrame, outcome.NotRun, "peer does not speak this protocol")
	}
	if v := binary.BigEndian.Uint16(peer[4:]); v != ProtocolVersion {
		return outcome.New(outcome.ProtocolVersion, outcome.NotRun, "peer speaks version %d, not %d", v, ProtocolVersion)
	}
	return raw.SetDeadline(time.Time{})
}
