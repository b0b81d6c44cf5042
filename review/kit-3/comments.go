package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["comments"] = comments }

// comments has engines send a comment line before the third event of each stream, as servers
// of text/event-stream do to keep a channel alive. The results of items are compared with what
// the engines sent.
func comments(f *fleet, trouble bool) (bool, error) {
	const events = 6
	lm := func() handler {
		return func(_ *engine, w http.ResponseWriter, r *http.Request, id string) {
			w.Header().Set("Content-Type", "text/event-stream")
			flush := http.NewResponseController(w).Flush
			from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for n := from + 1; n <= events; n++ {
				if trouble && n == 3 {
					fmt.Fprint(w, ": still here\n\n")
				}
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n, 12))
				if flush() != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	if err := startSmall(f, lm, func() handler { return plain }); err != nil {
		return false, err
	}
	if !f.submit(0, 5, "round", submission("round", 20, 5, 20)) || !f.awaitDone(0, "round", 30*time.Second) {
		return false, fmt.Errorf("the batch was not done")
	}
	page, a := f.read(f.role("gateway")[0], 0, "round", 0)
	wrong := 0
	for _, result := range page.Results {
		var want []string
		for n := 1; n <= events; n++ {
			want = append(want, eventData(result.ID, n, 12))
		}
		if result.State != "completed" || result.Text != strings.Join(want, "\n") {
			wrong++
			f.rec.line("result of %s: %s %q, the engine sent %q", result.ID, result.State, result.Text, want)
		}
	}
	f.rec.line("status %d: %d of %d results are not the engines' whole output", a.status, wrong, len(page.Results))
	return wrong > 0, nil
}
