package fleet

// requestID is the idempotency key of a command.
type requestID struct {
	Client string `msgpack:"c"`
	ID     string `msgpack:"i"`
}

// answeredRequest is the stored result of a command.
type answeredRequest struct {
	Key         requestID `msgpack:"k"`
	Fingerprint string    `msgpack:"f"`
	Result      Result    `msgpack:"r"`
}

// requestTable keeps the results of the latest commands, to answer resends. It
// drops the oldest ones beyond maxAnsweredRequests.
type requestTable struct {
	answers map[requestID]answeredRequest
	order   []requestID // oldest first
}

func newRequestTable() requestTable {
	return requestTable{answers: make(map[requestID]answeredRequest)}
}

func (t *requestTable) lookup(key requestID) (answeredRequest, bool) {
	a, found := t.answers[key]
	return a, found
}

func (t *requestTable) record(a answeredRequest) {
	t.answers[a.Key] = a
	t.order = append(t.order, a.Key)
	for len(t.order) > maxAnsweredRequests {
		delete(t.answers, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *requestTable) list() []answeredRequest {
	list := make([]answeredRequest, len(t.order))
	for i, key := range t.order {
		list[i] = t.answers[key]
	}
	return list
}
