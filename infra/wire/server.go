package wire

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/codec"
)

// Handler serves one stream. A returned error is sent to the peer as an
// *outcome.Error; nil sends an end frame. ctx is cancelled when the stream's
// deadline passes, the connection closes or the server stops.
type Handler func(ctx context.Context, s *Stream) error

// Logger receives warnings about failed handshakes, malformed frames and
// panicking handlers.
type Logger interface {
	Warn(event string, keyValues ...any)
}

// Server accepts connections and dispatches streams to handlers by method.
type Server struct {
	handlers  map[Method]Handler
	tlsConfig *tls.Config
	log       Logger

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	wg       conc.WaitGroup
}

// NewServer returns a server without handlers. tlsConfig may be nil.
func NewServer(log Logger, tlsConfig *tls.Config) *Server {
	return &Server{
		handlers:  make(map[Method]Handler),
		tlsConfig: tlsConfig,
		log:       log,
		sessions:  make(map[*yamux.Session]struct{}),
	}
}

// Handle registers the handler of a method. It must be called before Serve.
func (s *Server) Handle(m Method, h Handler) { s.handlers[m] = h }

// HandleUnary registers a handler that reads one request and returns one
// response. ctx is cancelled when the peer closes the stream.
func HandleUnary[Req, Resp any](s *Server, m Method, h func(ctx context.Context, request *Req) (*Resp, error)) {
	s.Handle(m, func(ctx context.Context, stream *Stream) error {
		request := new(Req)
		if err := stream.Recv(request); err != nil {
			return outcome.New(outcome.BadFrame, outcome.NotRun, "read request: %v", err)
		}
		stream.CancelOnClose()
		response, err := h(ctx, request)
		if err != nil {
			return err
		}
		return stream.Send(response)
	})
}

// Serve accepts connections until ctx ends, then closes all connections and
// waits for the handlers to return.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.closeSessions()
	})
	defer stop()
	for {
		raw, err := l.Accept()
		if err != nil {
			s.closeSessions()
			s.wg.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		s.wg.Go(func() { s.serveConn(ctx, raw) })
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	if s.tlsConfig != nil {
		raw = tls.Server(raw, s.tlsConfig)
	}
	if err := exchangeHello(raw); err != nil {
		s.log.Warn("wire_hello_failed", "peer", raw.RemoteAddr(), "error", err)
		raw.Close()
		return
	}
	session, err := yamux.Server(raw, muxConfig())
	if err != nil {
		raw.Close()
		return
	}
	s.setTracked(session, true)
	defer s.setTracked(session, false)
	defer session.Close()
	if ctx.Err() != nil {
		return
	}
	connCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveStream(connCtx, session, stream) })
	}
}

func (s *Server) serveStream(connCtx context.Context, session *yamux.Session, raw *yamux.Stream) {
	defer abort(raw)
	header, err := readOpenHeader(raw)
	if err != nil {
		if errors.Is(err, errBadFrame) {
			s.log.Warn("wire_bad_frame", "peer", session.RemoteAddr(), "error", err)
			session.Close()
		}
		return
	}
	ctx, cancel := streamContext(connCtx, header)
	defer cancel()
	// While a session ends, reads of its streams spin until the last frame has been read.
	defer context.AfterFunc(connCtx, func() { abort(raw) })()
	stream := &Stream{conn: raw, cancel: cancel, startGoroutine: s.wg.Go}
	handler, ok := s.handlers[header.Method]
	if !ok {
		_ = stream.sendError(outcome.New(outcome.UnknownRoute, outcome.NotRun, "no method %d", header.Method))
		return
	}
	if err := s.runHandler(ctx, handler, stream); err != nil {
		if errors.Is(err, errBadFrame) {
			s.log.Warn("wire_bad_frame", "peer", session.RemoteAddr(), "error", err)
			session.Close()
			return
		}
		_ = stream.sendError(outcome.From(err))
		return
	}
	_ = stream.CloseSend()
}

// streamContext applies the timeout that the peer sent, if any.
func streamContext(ctx context.Context, header openHeader) (context.Context, context.CancelFunc) {
	if header.TimeoutMS > 0 {
		return context.WithTimeout(ctx, time.Duration(header.TimeoutMS)*time.Millisecond)
	}
	return context.WithCancel(ctx)
}

// runHandler calls h and converts a panic into an error, so that it fails only
// this stream.
func (s *Server) runHandler(ctx context.Context, h Handler, stream *Stream) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Warn("wire_handler_panic", "panic", p)
			err = outcome.New(outcome.Internal, outcome.MayHaveRun, "handler failed")
		}
	}()
	return h(ctx, stream)
}

// readOpenHeader reads the first frame of a stream.
func readOpenHeader(raw net.Conn) (openHeader, error) {
	var header openHeader
	kind, body, err := readFrame(raw)
	if err != nil {
		return header, err
	}
	if kind != frameOpen {
		return header, errors.Wrapf(errBadFrame, "stream starts with kind %d", kind)
	}
	if err := codec.Unmarshal(body, &header); err != nil {
		return header, errors.Mark(errors.Wrap(err, "open header"), errBadFrame)
	}
	return header, nil
}

// setTracked adds session to the set that closeSessions closes, or removes it.
func (s *Server) setTracked(session *yamux.Session, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if active {
		s.sessions[session] = struct{}{}
		return
	}
	delete(s.sessions, session)
}

func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.Close()
	}
}
