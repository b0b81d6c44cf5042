package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = refused }

// failing returns a handler that runs each request and, for a share of them, fails with 503
// after the work is done, while trouble is set. The answer does not say that the request was
// not run, because it was.
func failing(trouble *atomic.Bool, share int, signed bool) handler {
	var count atomic.Int64
	return func(e *engine, w http.ResponseWriter, r *http.Request, id string) {
		if !trouble.Load() || int(count.Add(1))%10 >= share {
			plain(e, w, r, id)
			return
		}
		time.Sleep(15 * time.Millisecond)
		if !signed {
			w.Header().Del("X-Banyanwalk-Response-Signature")
		}
		body := "the order was taken, and its confirmation failed"
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, body)
	}
}

// refused has engines fail a part of their requests after they ran them, with a status that
// towards clients is a promise that the request has not run.
func refused(f *fleet, withTrouble bool) (bool, error) {
	var trouble atomic.Bool
	engines := 0
	app := func() handler {
		engines++
		return failing(&trouble, 4, engines%2 == 1) // some with their signature, some without
	}
	if err := startSmall(f, func() handler { return streamOf(20, 20*time.Millisecond, 20) }, app); err != nil {
		return false, err
	}
	trouble.Store(withTrouble)
	f.rec.line("engines of dispatch fail 4 in 10 of their requests: %v", withTrouble)
	var mu sync.Mutex
	promised := make(map[string]answer)
	var sending sync.WaitGroup
	answered := 0
	for n := range 300 {
		gateways := f.role("gateway")
		g := gateways[n%len(gateways)]
		sending.Add(1)
		go func() {
			defer sending.Done()
			id := fmt.Sprintf("order-%d", n)
			a := f.send(g, http.MethodPost, "/order/x", id, []byte("two bells for the shop"), 3*time.Second, nil)
			f.rec.line("client: %s at %s: status %d, signature %q, error %v", id, g.name, a.status, a.signature, a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.status != 0 {
				answered++
			}
			switch a.status {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				promised[id] = a
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	sending.Wait()
	time.Sleep(time.Second)
	broken, unsigned := 0, 0
	for _, a := range f.ran("", time.Time{}) {
		p, found := promised[a.id]
		if !found {
			continue
		}
		broken++
		if p.signature == "" {
			unsigned++
		}
		f.rec.line("engine: ran %s, which its client was told has not run (status %d, signature %q)", a.id, p.status, p.signature)
	}
	f.rec.line("%d requests sent once each, %d answered; %d were answered 429, 503, 408 or 421 and had run, %d of them without an engine's signature",
		300, answered, broken, unsigned)
	return broken > 0, nil
}
