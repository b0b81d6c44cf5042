package limit

// GatewayID identifies one run of one gateway process.
type GatewayID struct {
	Name        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// Request is one exchange of a gateway with the owner, for all workspaces.
type Request struct {
	Gateway       GatewayID      `msgpack:"g"`
	Owner         uint64         `msgpack:"o"`           // epoch of the owner that answered last; 0: none
	Seq           uint64         `msgpack:"s"`           // increases by one with each exchange of this incarnation
	Ack           uint64         `msgpack:"a"`           // Seq of the last response that was applied
	Entries       []UsageEntry   `msgpack:"e,omitempty"` // not known to be processed, oldest first
	TokenRequests []TokenRequest `msgpack:"w,omitempty"`
	Report        *Report        `msgpack:"r,omitempty"` // for a new owner; a reporting gateway holds no tokens
	Closing       bool           `msgpack:"l,omitempty"` // the gateway shuts down and holds no tokens
}

// UsageEntry records tokens of one workspace that a gateway spent or returned.
type UsageEntry struct {
	Seq       uint64 `msgpack:"s"` // first exchange that carried the entry
	Workspace string `msgpack:"w"`
	Spent     int64  `msgpack:"n,omitempty"`
	Returned  int64  `msgpack:"r,omitempty"` // returned unspent
	Age       int64  `msgpack:"a,omitempty"` // upper bound of the nanoseconds since the last of the tokens was spent
	spentAt   int64  // latest time of spending: on the gateway's clock, on the owner's during replay
}

// TokenRequest requests tokens of one workspace.
type TokenRequest struct {
	Workspace string `msgpack:"w"`
	Waiting   int64  `msgpack:"n,omitempty"` // waiting requests
	Oldest    int64  `msgpack:"o,omitempty"` // nanoseconds that the oldest of them has waited
	Prefetch  int64  `msgpack:"p,omitempty"` // tokens for expected requests
}

// Report tells a new owner what the gateway knows of the previous owner's buckets.
// The entries of the same request are applied on top of the checkpoint.
type Report struct {
	Checkpoint *Checkpoint `msgpack:"c"`
	Age        int64       `msgpack:"a"` // nanoseconds since the checkpoint was received
}

// Status is the outcome of an exchange.
type Status uint8

// The statuses.
const (
	StatusOK         Status = iota
	StatusReport            // the gateway must give up all tokens and send a report
	StatusRebuilding        // report received; the owner waits for other gateways
	StatusStale             // this exchange or a later one was already processed
)

// Response is the owner's response to a Request.
type Response struct {
	Owner      uint64      `msgpack:"o"`
	Seq        uint64      `msgpack:"s"`
	Status     Status      `msgpack:"t"`
	Grants     []Grant     `msgpack:"g,omitempty"`
	Contended  []string    `msgpack:"c,omitempty"` // workspaces whose idle tokens must be returned for other gateways
	Checkpoint *Checkpoint `msgpack:"p,omitempty"`
}

// Verdict says whether all requests of a TokenRequest got a token, or why not.
type Verdict uint8

// The verdicts.
const (
	Granted Verdict = iota // all requests got a token
	Wait                   // other gateways hold idle tokens, or the gateway or workspace is not yet known; retry
	Empty                  // the workspace's rate and burst are used up
)

// Grant answers a TokenRequest.
type Grant struct {
	Workspace string  `msgpack:"w"`
	Tokens    int64   `msgpack:"n,omitempty"`
	Verdict   Verdict `msgpack:"v,omitempty"`
	Next      int64   `msgpack:"x,omitempty"` // with Empty: nanoseconds until the next token
	Interval  int64   `msgpack:"i,omitempty"` // with Empty: nanoseconds between tokens
	WaitLimit int64   `msgpack:"p,omitempty"` // with Empty: longest total wait of a request, in nanoseconds
}

// Checkpoint is a snapshot of the owner's state. Gateways keep the latest one for
// the next owner.
type Checkpoint struct {
	Owner   uint64   `msgpack:"o"`
	Stamp   uint64   `msgpack:"t"` // increases with each checkpoint of one owner
	Version uint64   `msgpack:"v"` // of the list of members
	Members []Member `msgpack:"m"`
	Debts   []Debt   `msgpack:"d"` // workspaces whose bucket was not full or that still have a handover delay
}

// Member is a gateway that may hold tokens, with its last processed exchange.
type Member struct {
	Gateway GatewayID `msgpack:"g"`
	Seq     uint64    `msgpack:"s"`
}

// Debt is the time until the bucket of a workspace is full again, counting
// reported spending only.
type Debt struct {
	Workspace     string `msgpack:"w"`
	UntilFull     int64  `msgpack:"b"`           // nanoseconds until full
	HandoverDelay int64  `msgpack:"s,omitempty"` // nanoseconds of extra wait allowed after changes of owner
}

// newerThan reports whether c describes a later state than d.
func (c *Checkpoint) newerThan(d *Checkpoint) bool {
	if d == nil || c.Owner != d.Owner {
		return d == nil || c.Owner > d.Owner
	}
	return c.Stamp > d.Stamp
}

func (c *Checkpoint) seqOf(id GatewayID) uint64 {
	for _, m := range c.Members {
		if m.Gateway == id {
			return m.Seq
		}
	}
	return 0
}

func (c *Checkpoint) hasMember(id GatewayID) bool {
	for _, m := range c.Members {
		if m.Gateway == id {
			return true
		}
	}
	return false
}
