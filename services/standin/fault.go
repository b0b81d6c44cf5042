package standin

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"
)

// Fault makes a part of the responses of a stub target bad, as a bad software version
// does.
type Fault struct {
	Route     string        // path prefix of the requests concerned; empty: all
	AfterRuns int           // runs of the target before the first bad one
	After     time.Time     // before which no response is bad
	Share     float64       // of the requests concerned, chosen by their ids; 0: all
	Status    int           // of the response instead of the usual one; 0: unchanged
	Delay     time.Duration // before the response
}

// SetVersion sets the software version that the target reports, and the faults of that
// version.
func (t *Target) SetVersion(version string, faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version, t.faults = version, faults
}

func (t *Target) softwareVersion() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version == "" {
		return "v1"
	}
	return t.version
}

// applyFaults changes the behaviour for a request that one of the target's faults
// concerns.
func (t *Target) applyFaults(r *http.Request, b *Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.faults {
		if !f.concerns(r, r.Header.Get(t.headers.RequestID)) || len(t.runs) <= f.AfterRuns || time.Now().Before(f.After) {
			continue
		}
		if f.Status != 0 {
			b.Status = f.Status
		}
		b.Delay += f.Delay
	}
}

func (f *Fault) concerns(r *http.Request, id string) bool {
	if !strings.HasPrefix(r.URL.Path, f.Route) {
		return false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // a hash never fails
	return f.Share == 0 || float64(hash.Sum32())/(1<<32) < f.Share
}
