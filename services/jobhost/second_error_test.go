package jobhost

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/jobs"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// brokenItem is how targets answer the requests of one item: begun, then failure, then well.
type brokenItem struct {
	name, begun, failure string
	requests             int
}

// Report of other operators: a stream had begun and broke off, and the next engine answered
// with an error, whose text got into the stream. The text of an item is whole and its own.
func TestErrorAfterBrokenStreamReachesItem(t *testing.T) {
	f := newFixture(t)
	var mu sync.Mutex
	items := make(map[string]*brokenItem) // by id
	respond := func(r *http.Request) string {
		id := r.Header.Get(headerNames.RequestID)
		mu.Lock()
		defer mu.Unlock()
		item := items[id]
		item.requests++
		response := standin.WholeStream(r.Header.Get(headerNames.LastEventID))
		switch item.requests {
		case 1:
			response = item.begun
		case 2:
			response = item.failure
		}
		return strings.ReplaceAll(response, "ID", id)
	}
	spec := &jobs.Spec{ID: "j", Workspace: "w", Route: "lots", Host: "h", CompletionMS: 60_000, MaxAttempts: 3}
	// Each kind of error comes after two points; gateways, which read events by the same code,
	// are tested with all of them.
	begun, failures := standin.BrokenStreams(), standin.Errors()
	points := slices.Sorted(maps.Keys(begun))
	for n, kind := range slices.Sorted(maps.Keys(failures)) {
		for _, point := range []string{points[n%len(points)], "chunks, after event 2"} {
			hasEvent := strings.Contains(begun[point], "data: "+standin.EventData("ID", 1)+"\n\n")
			if (standin.IsBeginning(kind) || strings.HasPrefix(kind, "200, ")) && !hasEvent {
				continue // items take any body of events for a text
			}
			id := fmt.Sprintf("%02d", len(items)) // see BrokenStreams
			items[id] = &brokenItem{name: point + ", then " + kind, begun: begun[point], failure: failures[kind]}
			spec.Items = append(spec.Items, jobs.Item{ID: id, Path: "/lots/1", Tokens: 1})
		}
	}
	for i := range 8 {
		raw, err := standin.NewRaw(respond)
		require.NoError(t, err)
		t.Cleanup(raw.Close)
		target := standin.Target{ID: fmt.Sprint("raw", i), Addr: raw.Addr}
		f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{target.Report("llm", "", 64)}})
	}
	_, err := f.host.submit(t.Context(), spec)
	require.NoError(t, err)
	for _, result := range f.waitForResults("j", len(items)) {
		assert.Equal(t, jobs.Completed, result.State, items[result.Item].name)
		assert.Equal(t, expectedText(result.Item, standin.BrokenStreamEvents), result.Text, items[result.Item].name)
	}
}
