package jobhost

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/jobs"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// cutItem is how targets answer the requests of one item: at first with a cut response, then
// with the rest of it.
type cutItem struct {
	what     string
	cut      standin.Cut
	body     string // of the whole response
	requests int
}

// Report of other operators: an engine stopped in the middle of its response's head and closed.
// The item runs again, and its text is whole, wherever the first response was cut.
func TestCutResponseCompletesItem(t *testing.T) {
	const anyID = "#0000"
	const eventStream = "Content-Type: text/event-stream\r\n"
	events := func(id string, from int64) string {
		body := ""
		for n := from; n <= 2; n++ {
			body += fmt.Sprintf("id: %d\ndata: %s\n\n", n, standin.EventData(id, n))
		}
		return body
	}
	f := newFixture(t)
	names := make([]string, 0, 8)
	var mu sync.Mutex
	items := make(map[string]*cutItem) // by id
	respond := func(r *http.Request) standin.Cut {
		id := r.Header.Get(headerNames.RequestID)
		mu.Lock()
		defer mu.Unlock()
		for _, name := range names { // those that failed are avoided for a while
			f.follower.Targets.Succeeded(name)
		}
		item := items[id]
		item.requests++
		if item.requests == 1 {
			return item.cut
		}
		last, _ := strconv.ParseInt(r.Header.Get(headerNames.LastEventID), 10, 64) // 0: from the start
		rest := standin.Framings(id, eventStream, events(id, last+1))["chunks"]
		return rest.Cut(len(rest.Text), false)
	}
	spec := &jobs.Spec{ID: "j", Workspace: "w", Route: "lots", Host: "h", CompletionMS: 60_000, MaxAttempts: 3}
	for framing, response := range standin.Framings(anyID, eventStream, events(anyID, 1)) {
		for n := range 2 * (len(response.Text) + 1) {
			id := fmt.Sprintf("#%04x", len(items))
			whole := response.For(anyID, id)
			item := &cutItem{cut: whole.Cut(n/2, n%2 == 1), body: whole.Body}
			item.what = fmt.Sprintf("%s, %d of %d bytes, reset %v: %q", framing, n/2, len(whole.Text), item.cut.Reset, item.cut.Sent)
			items[id] = item
			spec.Items = append(spec.Items, jobs.Item{ID: id, Path: "/lots/1", Tokens: 1})
		}
	}
	for i := range cap(names) {
		raw, err := standin.NewCut(respond)
		require.NoError(t, err)
		t.Cleanup(raw.Close)
		target := standin.Target{ID: fmt.Sprint("cut", i), Addr: raw.Addr}
		names = append(names, target.ID)
		f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{target.Report("llm", "", 64)}})
	}
	_, err := f.host.submit(t.Context(), spec)
	require.NoError(t, err)
	cutShort := 0
	for _, result := range f.waitForResults("j", len(items)) {
		item := items[result.Item]
		require.Equal(t, jobs.Completed, result.State, item.what)
		if result.Text == expectedText(result.Item, 2) {
			continue
		}
		cutShort++
		require.True(t, item.cut.Complete && item.cut.Body != item.body, "looks complete: %s: %q", item.what, result.Text)
	}
	t.Logf("%d cuts, of which %d by a close between events of a body without length", len(items), cutShort)
}
