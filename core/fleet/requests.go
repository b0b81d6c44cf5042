package fleet

// requestID is the idempotency key of a command.
type requestID struct {
	Client string `msgpack:"c"`
	ID     string `msgpack:"i"`
}

// completedRequest is the stored result of a command.
type completedRequest struct {
	Key         requestID `msgpack:"k"`
	Fingerprint string    `msgpack:"f"`
	Result      Result    `msgpack:"r"`
}

// requestTable keeps the results of the latest commands, to answer resends. It
// drops the oldest ones beyond maxCompletedRequests.
type requestTable struct {
	completed map[requestID]completedRequest
	order     []requestID // oldest first
}

func newRequestTable() requestTable {
	return requestTable{completed: make(map[requestID]completedRequest)}
}

func (t *requestTable) lookup(key requestID) (completedRequest, bool) {
	a, found := t.completed[key]
	return a, found
}

func (t *requestTable) record(a completedRequest) {
	t.completed[a.Key] = a
	t.order = append(t.order, a.Key)
	for len(t.order) > maxCompletedRequests {
		delete(t.completed, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *requestTable) list() []completedRequest {
	list := make([]completedRequest, len(t.order))
	for i, key := range t.order {
		list[i] = t.completed[key]
	}
	return list
}
