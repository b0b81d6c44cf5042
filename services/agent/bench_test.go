package agent

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/admission"
	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/agent/announce"
	"banyanwalk/services/engine"
)

// BenchmarkExecute measures one call to a service through the wire protocol, the
// agent and HTTP on the loopback network. It includes the time of the test engine.
func BenchmarkExecute(b *testing.B) {
	x := newHarness(b)
	s := x.start(engine.Config{Name: "e1", Kind: bundle.KindService, WarmCapacity: 64})
	b.ReportAllocs()
	for b.Loop() {
		require.Nil(b, x.run(b.Context(), x.chat(s, x.prompt(), 1, false)).err)
	}
}

// BenchmarkSlot measures acquiring and releasing a slot under contention.
func BenchmarkSlot(b *testing.B) {
	control := &fakeControl{view: &fleet.View{}}
	a := New(Config{Name: "h1", Control: control, Log: telemetry.Discard()})
	t := newTarget(a, "h1/e1", announce.Announcement{Name: "e1", Model: "m", WarmCapacity: 256, ColdCapacity: 256})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		for pb.Next() {
			id, err := t.admit(ctx, admission.Request{Workspace: "w", StartBy: a.now() + admission.Time(1<<40)}, cancel)
			if err != nil {
				b.Error(err)
				return
			}
			t.release(id, admission.Result{Ending: admission.Succeeded})
		}
	})
}
