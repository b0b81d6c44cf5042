package entry

import (
	"sync"
	"time"

	"banyanwalk/core/quarantine"
)

const (
	// innocentWindow is how long, at least, a complete response to a request speaks
	// for what it shares with others.
	innocentWindow = 5 * time.Second
	// maxInnocentSubjects bounds the subjects of a kind that are remembered of one
	// workspace in each window.
	maxInnocentSubjects = 512
	// maxInnocentShared bounds the prompt parts that are remembered whatever their workspace.
	maxInnocentShared = 4096
	// maxInnocentGroups bounds the groups of subjects remembered in each window.
	maxInnocentGroups = 512
)

// innocentSubjects remembers what the requests shared that got complete responses of
// this gateway within the last one to two innocentWindows. It is safe for concurrent
// use.
type innocentSubjects struct {
	mu       sync.Mutex
	since    time.Time // start of current
	current  subjectSet
	previous subjectSet
}

// subjectGroup is what the bounds apply to: the subjects of one kind in a workspace.
type subjectGroup struct {
	workspace string
	kind      quarantine.Kind
}

func groupOf(ref quarantine.Ref) subjectGroup {
	return subjectGroup{workspace: ref.Workspace, kind: ref.Kind}
}

// most returns how many subjects of the group are remembered.
func (g subjectGroup) most() int {
	if g.kind == quarantine.SharedPart {
		return maxInnocentShared
	}
	return maxInnocentSubjects
}

// subjectSet holds subjects by group.
type subjectSet map[subjectGroup]map[quarantine.Digest]struct{}

// add remembers subjects.
func (p *innocentSubjects) add(now time.Time, subjects []quarantine.Ref) {
	if len(subjects) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	for _, ref := range subjects {
		group := groupOf(ref)
		digests := p.current[group]
		if digests == nil {
			if len(p.current) >= maxInnocentGroups {
				continue
			}
			digests = make(map[quarantine.Digest]struct{})
			p.current[group] = digests
		}
		if len(digests) < group.most() {
			digests[ref.Digest] = struct{}{}
		}
	}
}

// has reports whether a subject is remembered.
func (p *innocentSubjects) has(ref quarantine.Ref) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(time.Now())
	_, current := p.current[groupOf(ref)][ref.Digest]
	_, previous := p.previous[groupOf(ref)][ref.Digest]
	return current || previous
}

// rotate starts a new window when one is due. The caller holds the lock.
func (p *innocentSubjects) rotate(now time.Time) {
	elapsed := now.Sub(p.since)
	if p.current != nil && elapsed < innocentWindow {
		return
	}
	p.previous = p.current
	if elapsed >= 2*innocentWindow {
		p.previous = nil
	}
	p.current, p.since = make(subjectSet), now
}
