package rpc

// IdempotentState tells the bearer of an Idempotency-Key how its request
// stands.
type IdempotentState uint8

// The states of a record.
const (
	IdempotentWon      IdempotentState = iota + 1 // the caller of Begin runs the request
	IdempotentPending                             // another gateway runs it; ask again after RetryAfterMS
	IdempotentDone                                // Answer holds the stored answer
	IdempotentMismatch                            // the key was used with another request
)

// IdempotentAnswer is a stored whole answer.
type IdempotentAnswer struct {
	Status  int      `msgpack:"s"`
	Headers []Header `msgpack:"h"`
	Body    []byte   `msgpack:"b"`
}

// IdempotentBegin claims the record of a key. The first claim wins; the claim
// lapses after LeaseMS without a renewal by the same gateway and attempt.
//
// A lapsed claim on a route that is not idempotent may not be taken over: the
// first attempt may have run. The record then stays Pending until it is ended,
// and is answered as Done with an AlreadyAttempted error body after the lease.
type IdempotentBegin struct {
	Workspace     string   `msgpack:"w"`
	Key           string   `msgpack:"k"` // Idempotency-Key of the caller, at most 255 bytes
	RequestDigest [16]byte `msgpack:"d"` // over method, path, query and body
	Gateway       string   `msgpack:"g"`
	ClaimID       string   `msgpack:"c"` // request id; a resend of the same claim gets the same state
	LeaseMS       int64    `msgpack:"l"` // milliseconds
	Repeatable    bool     `msgpack:"r"` // a lapsed claim may be taken over
}

// IdempotentBeginResult answers IdempotentBegin.
type IdempotentBeginResult struct {
	State        IdempotentState  `msgpack:"s"`
	Answer       IdempotentAnswer `msgpack:"a"` // with IdempotentDone
	RetryAfterMS int64            `msgpack:"r"` // with IdempotentPending, milliseconds
}

// IdempotentEnd closes a claim: with Abandon the record is removed, because
// the request certainly did not run; else the answer is stored.
type IdempotentEnd struct {
	Workspace string           `msgpack:"w"`
	Key       string           `msgpack:"k"`
	ClaimID   string           `msgpack:"c"`
	Abandon   bool             `msgpack:"x"`
	Answer    IdempotentAnswer `msgpack:"a"`
}
