package director

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/routing"
)

// pair is two control hosts that found one group; it takes both.
type pair struct {
	t           *testing.T
	addrs, dirs [2]string
	servers     [2]*Server
	stops       [2]func()
}

func newPair(t *testing.T) *pair {
	p := &pair{t: t}
	var listeners [2]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[i], p.addrs[i], p.dirs[i] = l, l.Addr().String(), t.TempDir()
	}
	for i, l := range listeners {
		p.run(i, l)
	}
	t.Cleanup(func() {
		p.stop(0)
		p.stop(1)
	})
	return p
}

func (p *pair) run(i int, l net.Listener) {
	p.servers[i], p.stops[i] = run(p.t, l, p.dirs[i], p.addrs[:]...)
}

func (p *pair) start(i int) {
	l, err := net.Listen("tcp", p.addrs[i])
	require.NoError(p.t, err)
	p.run(i, l)
}

func (p *pair) stop(i int) {
	if p.stops[i] != nil {
		p.stops[i]()
	}
	p.stops[i] = nil
}

// Followers learn how old the last confirmation is, also from a host that has
// no quorum any more.
func TestFollowersKnowHowCurrentTheCatalogIs(t *testing.T) {
	p := newPair(t)
	f := startFollower(t, p.addrs[0], func([]byte) (*routing.Document, error) { return document(1), nil })
	require.Eventually(t, func() bool { return f.StaleFor() < patience }, patience, time.Millisecond)
	p.stop(1)
	before := f.StaleFor()
	require.Eventually(t, func() bool { return f.StaleFor() > before+orderTimeout }, patience, time.Millisecond)
	p.start(1)
	require.Eventually(t, func() bool { return f.StaleFor() < orderTimeout }, patience, time.Millisecond)
}

// After the loss of all power a host knows of an acknowledged change only once
// it has heard a leader (urbpadoms-grown, two-disks-lost seed 4: gateways took an
// older document from a host that had just started, and refused a valid key).
func TestAHostThatHasJustStartedPushesNoCatalogBeforeItIsSure(t *testing.T) {
	p := newPair(t)
	for version := uint64(1); version <= 3; version++ {
		require.Eventually(t, func() bool {
			return p.servers[0].PutDocument(t.Context(), document(version), []byte{byte(version)}) == nil
		}, patience, time.Millisecond)
	}
	p.stop(0)
	p.stop(1)
	p.start(0)
	var first atomic.Int64
	f := startFollower(t, p.addrs[0], func(body []byte) (*routing.Document, error) {
		first.CompareAndSwap(0, int64(body[0]))
		return document(uint64(body[0])), nil
	})
	require.Eventually(t, func() bool { return len(f.Controls()) == 1 }, patience, time.Millisecond)
	assert.Nil(t, f.Table(), "one of two hosts cannot know what is newest")
	p.start(1)
	require.Eventually(t, func() bool { return f.Table() != nil }, patience, time.Millisecond)
	assert.Equal(t, int64(3), first.Load())
}
