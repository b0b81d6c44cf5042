package site

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Fault is what a proxy does to the connections through it.
type Fault int32

// Faults of a proxy. A stalled direction holds its data until the fault ends.
const (
	NoFault           Fault = iota
	Delay                   // each chunk is delayed by chunkDelay
	Stall                   // connections stay open and both directions stall
	StallRequests           // the direction to the target stalls
	StallResponses          // the direction to the caller stalls
	RefuseConnections       // new connections are closed at once
)

const (
	chunkDelay        = 80 * time.Millisecond
	proxyChunkBytes   = 4 << 10
	stallPollInterval = 20 * time.Millisecond
)

// Proxy is a TCP proxy in front of a target that injects faults into its
// connections. It is safe for concurrent use.
type Proxy struct {
	Addr     string
	target   string // address of the target
	listener net.Listener
	fault    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    conc.WaitGroup
}

// NewProxy starts a proxy in front of the target at an address. Close stops it.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{Addr: l.Addr().String(), target: target, listener: l, conns: make(map[net.Conn]struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// SetFault replaces the fault of all present and future connections.
func (p *Proxy) SetFault(f Fault) { p.fault.Store(int32(f)) }

// ResetConnections closes all open connections with a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		conn.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.ResetConnections()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if Fault(p.fault.Load()) == RefuseConnections {
			conn.Close()
			continue
		}
		p.wg.Go(func() { p.forward(conn) })
	}
}

// forward connects to the target and copies data both ways until both directions
// end.
func (p *Proxy) forward(caller net.Conn) {
	defer caller.Close()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	p.track(caller, true)
	defer p.track(caller, false)
	p.track(target, true)
	defer p.track(target, false)
	var directions conc.WaitGroup
	directions.Go(func() { p.copyDirection(target, caller, StallRequests) })
	directions.Go(func() { p.copyDirection(caller, target, StallResponses) })
	directions.Wait()
}

// track adds an opened connection to those that ResetConnections closes, or
// removes it.
func (p *Proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = struct{}{}
	} else {
		delete(p.conns, conn)
	}
}

// copyDirection copies one direction of a connection, subject to the fault of
// the proxy. directionStall is the fault that stalls only this direction.
func (p *Proxy) copyDirection(to, from net.Conn, directionStall Fault) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, proxyChunkBytes)
	for {
		n, err := from.Read(buf)
		for isStalled(Fault(p.fault.Load()), directionStall) && p.isOpen(to) {
			time.Sleep(stallPollInterval)
		}
		if Fault(p.fault.Load()) == Delay {
			time.Sleep(chunkDelay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.setResetOnClose(to)
			}
			return
		}
	}
}

// isStalled reports whether a fault stalls the direction of directionStall.
func isStalled(f, directionStall Fault) bool { return f == Stall || f == directionStall }

func (p *Proxy) isOpen(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, open := p.conns[conn]
	return open
}

// setResetOnClose makes closing a connection send a TCP reset: a connection that
// broke on one side must not look like a regular end on the other.
func (p *Proxy) setResetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // best effort: on failure the connection is closed without a reset
	}
}
