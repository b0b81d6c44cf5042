package admission

import "slices"

// queue holds the waiting online requests, in one FIFO queue per workspace.
type queue struct {
	workspaces []workspaceQueue // only those with waiting requests
	size       int
	seq        uint64
}

type workspaceQueue struct {
	workspace string
	entries   []queuedRequest
}

type queuedRequest struct {
	request Request
	seq     uint64 // arrival order
}

func (q *queue) push(r Request) {
	q.seq++
	q.size++
	entry := queuedRequest{request: r, seq: q.seq}
	for i := range q.workspaces {
		if q.workspaces[i].workspace == r.Workspace {
			q.workspaces[i].entries = append(q.workspaces[i].entries, entry)
			return
		}
	}
	q.workspaces = append(q.workspaces, workspaceQueue{workspace: r.Workspace, entries: []queuedRequest{entry}})
}

// pop removes the oldest request of the workspace with the fewest running
// requests; among equals, the request that has waited longest.
func (q *queue) pop(running func(workspace string) int) Request {
	best := 0
	for i := 1; i < len(q.workspaces); i++ {
		a, b := running(q.workspaces[i].workspace), running(q.workspaces[best].workspace)
		if a < b || (a == b && q.workspaces[i].entries[0].seq < q.workspaces[best].entries[0].seq) {
			best = i
		}
	}
	r := q.workspaces[best].entries[0].request
	q.removeAt(best, 0)
	return r
}

// evict makes room for a request of workspace: it removes the newest request of
// the workspace with the most waiting ones, if that workspace has more waiting
// than the given one would have with its new request.
func (q *queue) evict(workspace string) (Request, bool) {
	longest, own := -1, 0
	for i := range q.workspaces {
		if q.workspaces[i].workspace == workspace {
			own = len(q.workspaces[i].entries)
		}
		if longest < 0 || len(q.workspaces[i].entries) > len(q.workspaces[longest].entries) {
			longest = i
		}
	}
	if longest < 0 || len(q.workspaces[longest].entries) <= own+1 {
		return Request{}, false
	}
	last := len(q.workspaces[longest].entries) - 1
	r := q.workspaces[longest].entries[last].request
	q.removeAt(longest, last)
	return r, true
}

// remove removes a request by its ID and reports whether it was queued.
func (q *queue) remove(id uint64) bool {
	return len(q.take(func(r Request) bool { return r.ID == id })) > 0
}

// take removes and returns all requests that match.
func (q *queue) take(match func(Request) bool) []Request {
	var taken []Request
	for i := len(q.workspaces) - 1; i >= 0; i-- {
		for j := len(q.workspaces[i].entries) - 1; j >= 0; j-- {
			if r := q.workspaces[i].entries[j].request; match(r) {
				taken = append(taken, r)
				if q.removeAt(i, j) {
					break
				}
			}
		}
	}
	return taken
}

// removeAt removes entry j of workspace queue i and reports whether that queue
// became empty and was removed too.
func (q *queue) removeAt(i, j int) bool {
	q.size--
	q.workspaces[i].entries = slices.Delete(q.workspaces[i].entries, j, j+1)
	if len(q.workspaces[i].entries) > 0 {
		return false
	}
	q.workspaces = slices.Delete(q.workspaces, i, i+1)
	return true
}

// earliest returns the earliest StartBy of all waiting requests.
func (q *queue) earliest() (Time, bool) {
	first, found := Time(0), false
	for i := range q.workspaces {
		for _, w := range q.workspaces[i].entries {
			if !found || w.request.StartBy < first {
				first, found = w.request.StartBy, true
			}
		}
	}
	return first, found
}
