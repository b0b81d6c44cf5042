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

// warmTarget returns a target that one successful request has warmed up, and its
// announcement. No goroutine watches the target or updates its announcement, so
// the test controls both.
func warmTarget(t *testing.T, b *harness) (*target, announce.Announcement) {
	t.Helper()
	info := announce.Announcement{
		Name: "e1", Kind: bundle.KindModel, Model: "m", Incarnation: 1, Address: "127.0.0.1:1",
		WarmCapacity: 8, ColdCapacity: 2, WarmupRequests: 1,
	}
	tgt := newTarget(b.agent, "h1/e1", info)
	tgt.release(grantSlot(t, tgt), admission.Result{Ending: admission.Succeeded})
	require.Equal(t, 8, tgt.gate.Limit())
	return tgt, info
}

func grantSlot(t *testing.T, tgt *target) uint64 {
	t.Helper()
	request := admission.Request{Workspace: "w", StartBy: tgt.agent.now() + waitLimit}
	slot, err := tgt.admit(t.Context(), request, func(error) {})
	require.NoError(t, err)
	return slot
}

// watchPair gives the target a watch connection. It returns the channel that
// reports its end, and the far end of the connection.
func watchPair(t *testing.T, tgt *target) (broken chan struct{}, far net.Conn) {
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
	broken = make(chan struct{})
	tgt.setWatch(broken, near)
	return broken, far
}

// TestSlotGrantedBeforeRestartIsRefused restarts the target after a slot was
// granted and before the request is sent. The slot must not be used, because the
// new process is cold and can't handle the load of the warm one.
func TestSlotGrantedBeforeRestartIsRefused(t *testing.T) {
	type fixture struct {
		tgt    *target
		info   announce.Announcement
		broken chan struct{}
		far    net.Conn
	}
	for name, restart := range map[string]func(t *testing.T, f fixture){
		"new incarnation": func(_ *testing.T, f fixture) {
			f.info.Incarnation++
			f.tgt.updateAnnouncement(f.info)
		},
		"crash, then the same incarnation": func(_ *testing.T, f fixture) {
			f.tgt.recordCrash(f.info.Incarnation, "test")
			f.tgt.updateAnnouncement(f.info)
		},
		"watch connection broken": func(_ *testing.T, f fixture) { f.tgt.handleWatchBroken(f.broken) },
		"watch connection closed but not yet noticed": func(t *testing.T, f fixture) {
			require.NoError(t, f.far.Close())
			require.Eventually(t, func() bool {
				f.tgt.mu.Lock()
				defer f.tgt.mu.Unlock()
				return f.tgt.watchedProcessEnded()
			}, waitLimit, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			var f fixture
			f.tgt, f.info = warmTarget(t, b)
			f.broken, f.far = watchPair(t, f.tgt)
			attempt := func() *execution {
				return &execution{agent: b.agent, target: f.tgt, open: &rpc.ExecuteOpen{}, slot: grantSlot(t, f.tgt)}
			}
			before, sent := attempt(), attempt()
			require.NoError(t, sent.bindToProcess())
			restart(t, f)
			err := before.bindToProcess()
			require.Error(t, err)
			assert.True(t, outcome.IsCode(err, outcome.TargetCold), "%v", err)
			assert.Equal(t, outcome.NotRun, outcome.From(err).Outcome)
		})
	}
}

// TestLateAnnouncementKeepsColdLimit delivers a process's announcement after its
// watch connection broke. By then another process may listen on the port, so the
// target must stay limited to its cold capacity.
func TestLateAnnouncementKeepsColdLimit(t *testing.T) {
	tgt, info := warmTarget(t, newHarness(t))
	broken, _ := watchPair(t, tgt)
	tgt.handleWatchBroken(broken)
	require.Equal(t, 2, tgt.gate.Limit())
	tgt.updateAnnouncement(info)
	assert.Equal(t, 2, tgt.gate.Limit(), "there is no watch connection")
	watchPair(t, tgt)
	tgt.updateAnnouncement(info)
	assert.Equal(t, 8, tgt.gate.Limit())
}
