package entry

import (
	"sync"
	"time"

	"banyanwalk/core/quarantine"
)

const (
	// innocentWindow is how long, at least, a complete response to a request speaks
	// for the parts of its prompt.
	innocentWindow = 5 * time.Second
	// maxInnocentParts bounds the parts remembered of one workspace in each window.
	maxInnocentParts = 512
	// maxInnocentWorkspaces bounds the workspaces remembered in each window.
	maxInnocentWorkspaces = 256
)

// innocentParts remembers which prompt parts stood in complete responses of this
// gateway within the last one to two innocentWindows. It is safe for concurrent use.
type innocentParts struct {
	mu       sync.Mutex
	since    time.Time // start of current
	current  partSet
	previous partSet
}

// partSet holds parts by workspace.
type partSet map[string]map[quarantine.Digest]struct{}

// add remembers parts.
func (p *innocentParts) add(now time.Time, parts []quarantine.Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	for _, ref := range parts {
		digests := p.current[ref.Workspace]
		if digests == nil {
			if len(p.current) >= maxInnocentWorkspaces {
				continue
			}
			digests = make(map[quarantine.Digest]struct{})
			p.current[ref.Workspace] = digests
		}
		if len(digests) < maxInnocentParts {
			digests[ref.Digest] = struct{}{}
		}
	}
}

// has reports whether a part is remembered.
func (p *innocentParts) has(part quarantine.Ref) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(time.Now())
	_, current := p.current[part.Workspace][part.Digest]
	_, previous := p.previous[part.Workspace][part.Digest]
	return current || previous
}

// rotate starts a new window when one is due. The caller holds the lock.
func (p *innocentParts) rotate(now time.Time) {
	elapsed := now.Sub(p.since)
	if p.current != nil && elapsed < innocentWindow {
		return
	}
	p.previous = p.current
	if elapsed >= 2*innocentWindow {
		p.previous = nil
	}
	p.current, p.since = make(partSet), now
}
