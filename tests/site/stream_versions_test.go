package site

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

const (
	streamEvents   = 20 // of each stream
	streamPause    = 20 * time.Millisecond
	versionTargets = 8 // of both versions together
	streamCount    = 60
	takeUps        = 25 // tries of one caller
)

// versionedSite is a site whose targets run two versions by turns.
type versionedSite struct {
	*Site
	versions map[string]string // by target
	targets  []*standin.Target
	leave    map[string][]func() // of the targets, by version
}

func startVersionedSite(t *testing.T, network int, behaviour func(id string) standin.Behaviour) *versionedSite {
	s := &versionedSite{Site: startSite(t, network), versions: make(map[string]string), leave: make(map[string][]func())}
	for i := range versionTargets {
		target, err := standin.NewTarget(fmt.Sprintf("t%d", i), platform.HeaderNames(), standin.Behaviour{})
		require.NoError(t, err)
		target.SetBehaviour(behaviour)
		version := []string{"v1", "v1.1"}[i%2]
		s.versions[target.ID] = version
		s.targets = append(s.targets, target)
		s.leave[version] = append(s.leave[version], s.AddVersionedTarget(target, target.Addr, "llm", 8, version))
	}
	for _, g := range s.Role(Gateway) {
		awaitServed(t, s.Site, g, "/ask/1", "first")
	}
	return s
}

// joined returns the streams whose runs were at targets of several versions.
func (s *versionedSite) joined(streams []*callerStream) (names []string) {
	versionsOf := make(map[string]map[string]bool) // by request
	for _, target := range s.targets {
		for _, run := range target.Runs() {
			if versionsOf[run.ID] == nil {
				versionsOf[run.ID] = make(map[string]bool)
			}
			versionsOf[run.ID][s.versions[target.ID]] = true
		}
	}
	for _, stream := range streams {
		all := make(map[string]bool)
		for _, id := range stream.attempts {
			for version := range versionsOf[id] {
				all[version] = true
			}
		}
		if len(all) > 1 {
			names = append(names, stream.name)
		}
	}
	return names
}

// playStreams begins streams, breaks them off after some events, calls between and has
// their callers take them up.
func (s *versionedSite) playStreams(t *testing.T, stopAfter func(n int) int, between func()) (streams []*callerStream, whole int) {
	t.Helper()
	gateways := s.Role(Gateway)
	var wg conc.WaitGroup
	for n := range streamCount {
		stream := &callerStream{site: s.Site, name: fmt.Sprintf("stream-%d", n), events: streamEvents}
		streams = append(streams, stream)
		wg.Go(func() {
			_, err := stream.attempt(t.Context(), gateways[n%len(gateways)], stopAfter(n))
			assert.NoError(t, err)
		})
		if n%versionTargets == versionTargets-1 {
			time.Sleep(streamEvents * streamPause)
		}
	}
	wg.Wait()
	between()
	var mu sync.Mutex
	for n, stream := range streams {
		wg.Go(func() {
			if stream.last == streamEvents || stream.finish(t.Context(), n+1, takeUps) {
				mu.Lock()
				defer mu.Unlock()
				whole++
			}
		})
		if n%versionTargets == versionTargets-1 {
			time.Sleep(streamEvents * streamPause)
		}
	}
	wg.Wait()
	return streams, whole
}

func soundStreams(string) standin.Behaviour {
	return standin.Behaviour{Events: streamEvents, Pause: streamPause}
}

func leaveEarly(n int) int { return 6 + n%8 }

func readOn(int) int { return 0 }

// Incident ORDER: a target broke off in the middle of a stream, and the gateway went
// on at a target of another version.
func TestAnswerHoldsEventsOfTwoVersions(t *testing.T) {
	var mu sync.Mutex
	broken := make(map[string]bool)
	s := startVersionedSite(t, 145, func(id string) standin.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		b := soundStreams(id)
		if !broken[id] && strings.HasPrefix(id, "stream") {
			broken[id] = true
			b.BreakAfter = 5 + len(broken)%10
		}
		return b
	})
	streams, whole := s.playStreams(t, readOn, func() {})
	joined := s.joined(streams)
	t.Logf("%d of %d streams whole, %d joined", whole, len(streams), len(joined))
	assert.Empty(t, joined)
	assert.Equal(t, len(streams), whole)
}

// Incident ORDER: callers took streams up again at another gateway, also after all
// gateways, or all hosts, were killed, and got events of another version.
func TestStreamGoesOnAtAnotherVersion(t *testing.T) {
	for i, c := range []struct {
		name string
		kill []string // roles whose hosts are all killed in between
	}{
		{"caller left", nil},
		{"gateways killed", []string{Gateway}},
		{"gateways and control killed", []string{Gateway, Control}},
		{"storage hosts killed", []string{Store}},
		{"all killed", []string{Gateway, Control, Store}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startVersionedSite(t, 146+i, soundStreams)
			streams, whole := s.playStreams(t, leaveEarly, func() { s.killAll(t, c.kill) })
			joined := s.joined(streams)
			t.Logf("%d of %d streams whole, %d joined", whole, len(streams), len(joined))
			assert.Empty(t, joined)
			assert.Equal(t, len(streams), whole)
		})
	}
}

// killAll kills the hosts of roles at the same moment and starts them again.
func (s *versionedSite) killAll(t *testing.T, roles []string) {
	t.Helper()
	var hosts []*Host
	for _, role := range roles {
		hosts = append(hosts, s.Role(role)...)
	}
	for _, h := range hosts {
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range hosts {
		h.Kill()
		require.NoError(t, h.Start())
	}
}

// Incident ORDER: when all targets of a stream's version have left, it does not go on
// at another one.
func TestStreamOutlivesItsVersion(t *testing.T) {
	s := startVersionedSite(t, 151, soundStreams)
	streams, whole := s.playStreams(t, leaveEarly, func() {
		for _, leave := range s.leave["v1"] {
			leave()
		}
		s.killAll(t, []string{Gateway})
	})
	joined := s.joined(streams)
	t.Logf("%d of %d streams whole, %d joined", whole, len(streams), len(joined))
	assert.Empty(t, joined)
	assert.Greater(t, whole, streamCount/4, "streams of the version that is left go on")
}
