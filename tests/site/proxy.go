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

// The faults.
const (
	Healthy  Fault = iota
	Delayed        // each piece waits delayedBy
	Silent         // connections stay open and carry nothing
	Deaf           // nothing goes to the target, answers still come
	Mute           // requests still come, nothing goes back
	Refusing       // new connections are closed at once
)

const (
	delayedBy  = 80 * time.Millisecond
	proxyChunk = 4 << 10
	heldPause  = 20 * time.Millisecond
)

// Proxy stands before a target and harms its connections on demand. It is safe
// for concurrent use.
type Proxy struct {
	Addr   string
	target string
	listen net.Listener
	fault  atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    conc.WaitGroup
}

// NewProxy starts a proxy before a target. Close ends it.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{Addr: l.Addr().String(), target: target, listen: l, conns: make(map[net.Conn]struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Set changes what the proxy does.
func (p *Proxy) Set(f Fault) { p.fault.Store(int32(f)) }

// Reset breaks all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close below then sends a reset
		}
		conn.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listen.Close()
	p.Reset()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listen.Accept()
		if err != nil {
			return
		}
		if Fault(p.fault.Load()) == Refusing {
			conn.Close()
			continue
		}
		p.wg.Go(func() { p.carry(conn) })
	}
}

func (p *Proxy) carry(caller net.Conn) {
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
	var both conc.WaitGroup
	both.Go(func() { p.pass(target, caller, Deaf) })
	both.Go(func() { p.pass(caller, target, Mute) })
	both.Wait()
}

func (p *Proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = struct{}{}
	} else {
		delete(p.conns, conn)
	}
}

// pass carries one direction. blocking is the fault that holds just this one.
func (p *Proxy) pass(to, from net.Conn, blocking Fault) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, proxyChunk)
	for {
		n, err := from.Read(buf)
		for held(Fault(p.fault.Load()), blocking) && p.isOpen(to) {
			time.Sleep(heldPause)
		}
		if Fault(p.fault.Load()) == Delayed {
			time.Sleep(delayedBy)
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.reset(to)
			}
			return
		}
	}
}

func held(f, blocking Fault) bool { return f == Silent || f == blocking }

func (p *Proxy) isOpen(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, open := p.conns[conn]
	return open
}

// reset lets a broken connection look broken on the other side too.
func (p *Proxy) reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // best effort; a plain close follows otherwise
	}
}
