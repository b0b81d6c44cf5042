package gateway

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"banyanwalk/core/auth"
	"banyanwalk/core/fleet"
)

// BenchmarkKeyLookup measures the key lookup that every request makes.
func BenchmarkKeyLookup(b *testing.B) {
	index := newFakeState(b).View().Bundle()
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := index.KeyWorkspace(auth.KeyDigest(keyA)); !ok {
			b.Fatal("key not found")
		}
	}
}

// BenchmarkAcquireTarget measures the choice of one of 12 targets, including the
// acquisition and release of the slot.
func BenchmarkAcquireTarget(b *testing.B) {
	a := startAgent(b, echo)
	var targets []fleet.Target
	for i := range 12 {
		targets = append(targets, target(string(rune('a'+i)), "m1", a))
	}
	table := newTargetTable("dc1", newFakeState(b, targets...))
	req := &slotRequest{model: "m1", workspace: "alpha", weight: 1}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			l, err := table.tryAcquire(req)
			if err != nil || l == nil {
				b.Error("no target")
				return
			}
			l.release(nil)
		}
	})
}

// BenchmarkRequest measures a complete request from a caller through the gateway
// to an agent on loopback and back, with four concurrent callers per CPU.
func BenchmarkRequest(b *testing.B) {
	a := startAgent(b, echo)
	e := target("e1", "m1", a)
	e.WarmCapacity, e.ColdCapacity = 1000, 1000
	g := startGateway(b, Config{State: newFakeState(b, e)})
	client := &fasthttp.Client{MaxConnsPerHost: 64}
	defer client.CloseIdleConnections()
	b.SetParallelism(4)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod(http.MethodPost)
		request.SetRequestURI(g.url + chatPath)
		request.Header.Set("Authorization", "Bearer "+keyA)
		for p.Next() {
			request.SetBodyString(chatBody)
			if err := client.Do(request, response); err != nil || !bytes.Equal(response.Body(), []byte(chatBody)) {
				b.Errorf("%v %s", err, response.Body())
				return
			}
		}
	})
	b.StopTimer()
	require.NoError(b, g.Ready())
}
