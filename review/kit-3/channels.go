package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["kept"] = kept
	cases["waits"] = waits
}

// rawConn opens a channel to a gateway from a source address.
func (f *fleet) rawConn(g *process, source string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return dialer.DialContext(f.ctx, "tcp", fmt.Sprintf("%s:%d", g.ip, frontendPort))
}

// ordinary sends an ordinary client's requests to a gateway and counts the answers.
func ordinary(f *fleet, g *process, requests int, every time.Duration) (answered int) {
	var mu sync.Mutex
	var sending sync.WaitGroup
	for n := range requests {
		sending.Add(1)
		go func() {
			defer sending.Done()
			id := fmt.Sprintf("ordinary-%s-%d", g.name, n)
			a := f.send(g, http.MethodPost, "/ping/x", id, []byte("body"), 1500*time.Millisecond, nil)
			f.rec.line("client: %s at %s: status %d, error %v", id, g.name, a.status, a.err)
			if a.err == nil && a.status == http.StatusOK {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		}()
		time.Sleep(every)
	}
	sending.Wait()
	return answered
}

// kept has clients read the results of one batch, each on a channel that it then keeps open.
func kept(f *fleet, trouble bool) (bool, error) {
	if err := startSmall(f, func() handler { return streamOf(100, 5*time.Millisecond, 60) }, func() handler { return plain }); err != nil {
		return false, err
	}
	if !f.submit(0, 5, "round", submission("round", 150, 5, 200)) {
		return false, fmt.Errorf("the batch was not accepted")
	}
	if !f.awaitDone(0, "round", 30*time.Second) {
		return false, fmt.Errorf("the batch was not done")
	}
	g := f.role("gateway")[0]
	watch := &memoryWatch{}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Add(1)
	go func() {
		defer watching.Done()
		watch.watch(f, f.role("gateway"), edgeMemoryMB, stop)
	}()
	const readers = 300
	connection := "keep-alive"
	if !trouble {
		connection = "close"
	}
	var conns []net.Conn
	var reading sync.WaitGroup
	for n := range readers {
		conn, err := f.rawConn(g, "127.0.0.1")
		if err != nil {
			f.rec.line("reader %d: %v", n, err)
			continue
		}
		conns = append(conns, conn)
		fmt.Fprintf(conn, "GET /v1/lots/round?after=0 HTTP/1.1\r\nHost: %s\r\nX-Banyanwalk-Credential: %s\r\nX-Banyanwalk-Request-Id: kept-%d\r\nConnection: %s\r\n\r\n", hostName, keyOf(0), n, connection)
		reading.Add(1)
		go func() {
			defer reading.Done()
			_, _ = io.Copy(io.Discard, conn) // until the channel is closed
		}()
		time.Sleep(10 * time.Millisecond)
	}
	f.rec.line("%d readers of one batch's results have asked at %s, each on a channel of its own (%s)", len(conns), g.name, connection)
	answered := ordinary(f, g, 100, 100*time.Millisecond)
	for _, conn := range conns {
		conn.Close()
	}
	reading.Wait()
	close(stop)
	watching.Wait()
	f.rec.line("memory of the gateways at their peaks, MB of %d: %v; ends for that: %v; %d of 100 ordinary requests answered", edgeMemoryMB, watch.peaks, watch.over, answered)
	return len(watch.over) > 0, nil
}

// waits has clients ask for results with a long wait and leave.
func waits(f *fleet, trouble bool) (bool, error) {
	if err := startSmall(f, func() handler { return streamOf(4000, 25*time.Millisecond, 20) }, func() handler { return plain }); err != nil {
		return false, err
	}
	for tenant := range 4 {
		id := fmt.Sprintf("round%d", tenant)
		if !f.submit(tenant, 5, id, submission(id, 2, 5, 200)) {
			return false, fmt.Errorf("the batch was not accepted")
		}
	}
	g := f.role("gateway")[0]
	before := ordinary(f, g, 20, 50*time.Millisecond)
	f.rec.line("before: %d of 20 ordinary requests answered", before)
	wait := 1000
	if trouble {
		wait = 600000
	}
	for n := range 1200 {
		tenant := n % 4
		conn, err := f.rawConn(g, fmt.Sprintf("127.0.1.%d", 1+tenant))
		if err != nil {
			f.rec.line("client of tenant%d: channel %d: %v", tenant, n, err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		fmt.Fprintf(conn, "GET /v1/lots/round%d?after=0 HTTP/1.1\r\nHost: %s\r\nX-Banyanwalk-Credential: %s\r\nX-Banyanwalk-Wait-Ms: %d\r\nX-Banyanwalk-Request-Id: wait-%d\r\n\r\n",
			tenant, hostName, keyOf(tenant), wait, n)
		time.Sleep(5 * time.Millisecond)
		conn.Close() // the client leaves
	}
	f.rec.line("1200 clients have asked for results with a wait of %d ms at %s, and have left", wait, g.name)
	time.Sleep(15 * time.Second)
	answered := ordinary(f, g, 60, 100*time.Millisecond)
	f.rec.line("after: %d of 60 ordinary requests at %s answered; it counts as ready: %v", answered, g.name, f.isReady(g))
	return answered < 30, nil
}
