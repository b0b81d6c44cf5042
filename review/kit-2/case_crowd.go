package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slow-bodies"] = slowBodies }

// crowdAtEach is the number of clients that do not behave at each gateway: well below the
// descriptors of its machine (4,100).
const crowdAtEach = 1200

// slowBodies: a crowd of clients that do not behave sends the bodies of its requests a byte
// at a time. Ordinary callers must still get answers.
func slowBodies(s *site) (int, error) {
	gateways := s.class("edge")
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < uint64(crowdAtEach*len(gateways)+500) {
		return cannotRun, fmt.Errorf("%d descriptors: %v", limit.Cur, err)
	}
	var engines []*engine
	for z := range zones {
		engines = append(engines, s.newEngine(z, "dispatch", 50))
	}
	if err := s.startAll(config(2), engines...); err != nil {
		return cannotRun, err
	}
	time.Sleep(3 * time.Second)
	c := newClients(s)
	begin := time.Now()
	end := begin.Add(45 * time.Second)
	var mu sync.Mutex
	asked, answered := map[bool]int{}, map[bool]int{} // by whether the crowd was there
	c.every(100*time.Millisecond, end, func(n int) {
		time.Sleep(time.Duration(rand.Int64N(int64(100 * time.Millisecond))))
		at := time.Now()
		deadline := at.Add(1500 * time.Millisecond)
		got := false
		for try := 0; try < 2 && !got && time.Now().Before(deadline); try++ { // one retry, at another gateway
			r := c.send(gateways[(n+try)%len(gateways)], "POST", "/ping/a", "key-of-tenant-0", time.Until(deadline), nil, []byte("ping"))
			got = r.err == nil && r.status != 0
		}
		crowded := at.Sub(begin) > 20*time.Second
		if !crowded && at.Sub(begin) > 5*time.Second {
			return // while the crowd comes
		}
		mu.Lock()
		defer mu.Unlock()
		asked[crowded]++
		if got {
			answered[crowded]++
		}
	})
	time.Sleep(5 * time.Second)
	var open, refused, closed atomic.Int64
	var crowd sync.WaitGroup
	stop := make(chan struct{})
	for n := range crowdAtEach * len(gateways) {
		crowd.Add(1)
		go func() {
			defer crowd.Done()
			time.Sleep(time.Duration(n) * 2500 * time.Microsecond)
			for {
				began := time.Now()
				misbehave(s, gateways[n%len(gateways)], stop, &open, &refused, &closed)
				pause := 100 * time.Millisecond
				switch {
				case !s.trouble:
					pause = 15 * time.Second // a request each, as often as those of the crowd
				case time.Since(began) < 2*time.Second:
					pause = 700 * time.Millisecond // it was not let in
				}
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
			}
		}()
	}
	time.Sleep(time.Until(begin.Add(30 * time.Second)))
	s.note("the crowd has %d connections open, of %d clients", open.Load(), crowdAtEach*len(gateways))
	for _, m := range gateways {
		s.note("the platform asks %s whether it is ready: %t", m.name, s.ready(m))
	}
	time.Sleep(time.Until(end))
	close(stop)
	crowd.Wait()
	c.wg.Wait()
	c.writeRecord()
	s.note("the crowd: %d requests answered, %d connections closed", refused.Load(), closed.Load())
	s.note("before the crowd, %d of %d ordinary requests got an answer; beside it, %d of %d (two attempts each, at two gateways)", answered[false], asked[false], answered[true], asked[true])
	if asked[true] < 100 || answered[false]*10 < asked[false]*9 {
		return cannotRun, fmt.Errorf("too few ordinary requests")
	}
	if answered[true]*4 < asked[true] {
		return broken, nil
	}
	return held, nil
}

// misbehave sends one request whose body comes a byte at a time, or with TROUBLE=0 at once.
func misbehave(s *site, m *machine, stop chan struct{}, open, answered, closed *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, frontendPort), 2*time.Second)
	if err != nil {
		closed.Add(1)
		return
	}
	defer conn.Close()
	open.Add(1)
	defer open.Add(-1)
	body := strings.Repeat("x", 20)
	first := 0
	if !s.trouble {
		first = len(body)
	}
	if _, err := fmt.Fprintf(conn, "POST /ping/crowd HTTP/1.1\r\nHost: site.example\r\nX-Banyanwalk-Request-Id: %s\r\nX-Banyanwalk-Credential: key-of-tenant-1\r\nX-Banyanwalk-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s",
		s.newID(), len(body), body[:first]); err != nil {
		closed.Add(1)
		return
	}
	answer := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		answer <- line
	}()
	for i := first; ; i++ {
		select {
		case <-stop:
			return
		case line := <-answer:
			if line == "" {
				closed.Add(1)
			} else {
				answered.Add(1)
			}
			return
		case <-time.After(1300 * time.Millisecond):
		}
		if i < len(body) {
			if _, err := conn.Write([]byte(body[i : i+1])); err != nil {
				closed.Add(1)
				return
			}
		}
	}
}
