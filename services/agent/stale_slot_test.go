package agent

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/admission"
	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/agent/announce"
)

// warmTarget returns a target that nothing watches or announces but the test,
// and what it has announced. One success has warmed it up.
func warmTarget(t *testing.T, b *bench) (*target, announce.Announcement) {
	t.Helper()
	info := announce.Announcement{
		Name: "e1", Kind: bundle.KindModel, Model: "m", Incarnation: 1, Address: "127.0.0.1:1",
		WarmCapacity: 8, ColdCapacity: 2, WarmupRequests: 1,
	}
	guard := newTarget(b.agent, "h1/e1", info)
	guard.release(grant(t, guard), admission.Result{Ending: admission.Succeeded})
	require.Equal(t, 8, guard.gate.Limit())
	return guard, info
}

func grant(t *testing.T, guard *target) uint64 {
	t.Helper()
	request := admission.Request{Workspace: "w", StartBy: guard.agent.now() + waitLimit}
	slot, err := guard.admit(t.Context(), request, func(error) {})
	require.NoError(t, err)
	return slot
}

// watchPair puts a watch on the target and returns its far end.
func watchPair(t *testing.T, guard *target) (lost chan struct{}, far net.Conn) {
	t.Helper()
	l := listen(t)
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	lost = make(chan struct{})
	guard.setWatch(lost, near)
	return lost, far
}

// TestSlotGrantedBeforeRestartIsVoid restarts the target between the grant of
// a slot and the sending. What the warm process bore is too much for the next.
func TestSlotGrantedBeforeRestartIsVoid(t *testing.T) {
	type fixture struct {
		guard *target
		info  announce.Announcement
		lost  chan struct{}
		far   net.Conn
	}
	for name, restart := range map[string]func(t *testing.T, f fixture){
		"new incarnation": func(_ *testing.T, f fixture) {
			f.info.Incarnation++
			f.guard.announce(f.info)
		},
		"crash, then the same incarnation": func(_ *testing.T, f fixture) {
			f.guard.noteCrash(f.info.Incarnation, "test")
			f.guard.announce(f.info)
		},
		"watch lost": func(_ *testing.T, f fixture) { f.guard.watchLost(f.lost) },
		"watch ended, which nobody has read yet": func(t *testing.T, f fixture) {
			require.NoError(t, f.far.Close())
			require.Eventually(t, func() bool {
				f.guard.mu.Lock()
				defer f.guard.mu.Unlock()
				return f.guard.watchEnded()
			}, waitLimit, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			var f fixture
			f.guard, f.info = warmTarget(t, b)
			f.lost, f.far = watchPair(t, f.guard)
			attempt := func() *execution {
				return &execution{agent: b.agent, target: f.guard, open: &rpc.ExecuteOpen{}, slot: grant(t, f.guard)}
			}
			before, sent := attempt(), attempt()
			require.NoError(t, sent.enter())
			restart(t, f)
			err := before.enter()
			require.Error(t, err)
			assert.True(t, outcome.IsCode(err, outcome.TargetCold), "%v", err)
			assert.Equal(t, outcome.NotRun, outcome.From(err).Outcome)
		})
	}
}

// TestLateAnnouncementDoesNotEndDoubt delivers an announcement of a process
// after the watch on it broke: the port may be another's by then.
func TestLateAnnouncementDoesNotEndDoubt(t *testing.T) {
	guard, info := warmTarget(t, newBench(t))
	lost, _ := watchPair(t, guard)
	guard.watchLost(lost)
	require.Equal(t, 2, guard.gate.Limit())
	guard.announce(info)
	assert.Equal(t, 2, guard.gate.Limit(), "nothing watches the target")
	watchPair(t, guard)
	guard.announce(info)
	assert.Equal(t, 8, guard.gate.Limit())
}
