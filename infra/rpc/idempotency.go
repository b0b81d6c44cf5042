package rpc

// IdempotentState is the state of the request that was sent with an
// Idempotency-Key.
type IdempotentState uint8

// The states of a record.
const (
	IdempotentClaimed  IdempotentState = iota + 1 // the caller has claimed the key and must run the request
	IdempotentPending                             // another gateway is running it; retry after RetryAfterMS
	IdempotentDone                                // Response holds the stored response
	IdempotentMismatch                            // the key was used with a different request
)

// StoredResponse is a complete stored response.
type StoredResponse struct {
	Status  int      `msgpack:"s"`
	Headers []Header `msgpack:"h"`
	Body    []byte   `msgpack:"b"`
}

// IdempotentBegin claims the record of a key. The first claim succeeds; it expires
// after LeaseMS unless the same gateway renews it with the same ClaimID.
//
// An expired claim on a route that is not idempotent must not be taken over, because
// the first attempt may have run. Until the claim is ended, other claims get
// IdempotentPending, or, once its lease has expired, IdempotentDone with an
// AlreadyAttempted error as body.
type IdempotentBegin struct {
	Workspace     string   `msgpack:"w"`
	Key           string   `msgpack:"k"` // Idempotency-Key header, at most 255 bytes
	RequestDigest [16]byte `msgpack:"d"` // over method, path, query and body
	Gateway       string   `msgpack:"g"`
	ClaimID       string   `msgpack:"c"` // request ID; repeating the same claim returns the same state
	LeaseMS       int64    `msgpack:"l"` // milliseconds
	Idempotent    bool     `msgpack:"r"` // an expired claim may be taken over
}

// IdempotentBeginResponse is the response to IdempotentBegin.
type IdempotentBeginResponse struct {
	State        IdempotentState `msgpack:"s"`
	Response     StoredResponse  `msgpack:"a"` // with IdempotentDone
	RetryAfterMS int64           `msgpack:"r"` // with IdempotentPending, milliseconds
}

// IdempotentEnd ends a claim. With Abandon the record is removed, so that a resend runs
// the request: it did not run, or is idempotent and not known to have run. Otherwise
// Response is stored.
type IdempotentEnd struct {
	Workspace string         `msgpack:"w"`
	Key       string         `msgpack:"k"`
	ClaimID   string         `msgpack:"c"`
	Abandon   bool           `msgpack:"x"`
	Response  StoredResponse `msgpack:"a"`
}
