package rpc

import (
	"banyanwalk/core/jobs"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
	"banyanwalk/infra/wire"
)

// Methods of a site: hosts that find each other from seeds and targets that
// report themselves.
const (
	MethodFollow  wire.Method = 100 // stream: FollowPing -> FollowPush
	MethodPropose wire.Method = 101 // unary: Proposal -> ProposalResult, on the leader of a group

	MethodJobSubmit wire.Method = 110 // unary: jobs.Spec -> Ack
	MethodJobRead   wire.Method = 111 // unary: JobRead -> JobResults
	MethodJobBody   wire.Method = 112 // unary: JobBody -> JobBodyData
	MethodJobEnd    wire.Method = 113 // unary: jobs.EndJob -> Ack
	MethodJobYield  wire.Method = 114 // unary: JobYield -> Ack
	MethodJobTexts  wire.Method = 115 // unary: JobTexts -> JobTextsData, on any storage host

	MethodSlotAcquire wire.Method = 120 // unary: SlotRequest -> SlotGrant, on the broker
	MethodSlotRelease wire.Method = 121 // unary: SlotRelease -> Ack, on the broker
)

// The roles of processes of a site.
const (
	RoleGateway = "gateway"
	RoleControl = "control"
	RoleStore   = "store"
)

// Member describes one process of a site to the others.
type Member struct {
	Name       string        `msgpack:"n"`
	Role       string        `msgpack:"r"`
	Process    uint64        `msgpack:"p"` // random number of one life of the process
	DataCentre string        `msgpack:"d"`
	Store      *StorageState `msgpack:"s,omitempty"` // with RoleStore
}

// StorageState is the state of a storage host.
type StorageState struct {
	ID       uint64   `msgpack:"i"` // replica id, which holds the wire address
	Founder  bool     `msgpack:"b"` // it may take part in founding the job group
	Leads    bool     `msgpack:"l"`
	Term     uint64   `msgpack:"t"`
	Voters   []uint64 `msgpack:"v,omitempty"` // as this host knows them
	Learners []uint64 `msgpack:"e,omitempty"`
}

// Broker returns the number of the broker on a host that leads, or 0. It is
// another one in each term.
func (s *StorageState) Broker() uint64 {
	if !s.Leads {
		return 0
	}
	const idBits = 48
	return s.ID ^ s.Term<<idBits
}

// StorageLeader returns the index of the storage host that leads the newest
// term, or -1. All members are storage hosts.
func StorageLeader(hosts []Member) int {
	leader := -1
	for i := range hosts {
		if hosts[i].Store.Leads && (leader < 0 || hosts[i].Store.Term > hosts[leader].Store.Term) {
			leader = i
		}
	}
	return leader
}

// MemberLoad is a member with what it does. Sequence rises with each report.
type MemberLoad struct {
	Member   Member                    `msgpack:"m"`
	Sequence uint64                    `msgpack:"q"`
	Spent    map[string]uint64         `msgpack:"s,omitempty"` // tokens of each workspace since the start of the process
	Loads    map[string]placement.Load `msgpack:"l,omitempty"` // requests at each target
	Broker   uint64                    `msgpack:"b,omitempty"` // that Loads tell the brokered requests of: see StorageState.Broker
	Debts    map[string]float64        `msgpack:"d,omitempty"` // tokens that the buckets of workspaces lack
}

// FollowPing tells control about its subscriber.
type FollowPing struct {
	Load   MemberLoad `msgpack:"l"`
	Others bool       `msgpack:"o"` // asks for what the other processes do
}

// Others sums up what the processes other than the subscriber do.
type Others struct {
	Host     uint64                    `msgpack:"h"`           // life of the control host that has added it up
	Spent    map[string]uint64         `msgpack:"s,omitempty"` // tokens of each workspace; grows while Host is the same
	Loads    map[string]placement.Load `msgpack:"l,omitempty"` // requests at each target
	Broker   uint64                    `msgpack:"b,omitempty"` // that Loads tell the brokered requests of
	Debts    map[string]float64        `msgpack:"d,omitempty"` // the largest of each workspace at any gateway
	Count    int                       `msgpack:"n"`           // processes, the subscriber left out
	Gateways int                       `msgpack:"g"`           // gateways among them
}

// TargetReport is a target's report and how long ago it arrived.
type TargetReport struct {
	Report roster.Report `msgpack:"r"`
	AgeMS  int64         `msgpack:"a"` // milliseconds
}

// FollowPush carries what has changed since the push before. The first one
// carries everything.
type FollowPush struct {
	Catalog  *PackedCatalog `msgpack:"c,omitempty"`
	Targets  []TargetReport `msgpack:"t,omitempty"`
	Stores   []Member       `msgpack:"m,omitempty"` // storage hosts that were heard of late, if any has changed
	Others   *Others        `msgpack:"u,omitempty"` // if asked for
	Controls []string       `msgpack:"o,omitempty"` // wire addresses of the control hosts
	// Confirmed is how long ago, in milliseconds, a quorum confirmed that the
	// sender's catalog was current; nil if it is not told.
	Confirmed *int64 `msgpack:"f,omitempty"`
	Relay     bool   `msgpack:"y,omitempty"` // the sender is no control host: it knows nothing but Controls
}

// Proposal is a command for the leader of a group.
type Proposal struct {
	Group   uint32 `msgpack:"g"`
	Command []byte `msgpack:"c"`
}

// ProposalResult carries the encoded result of a command.
type ProposalResult struct {
	Result []byte `msgpack:"r"`
}

// JobRead asks for the results of a job from a position on.
type JobRead struct {
	Workspace string `msgpack:"w"`
	Job       string `msgpack:"j"`
	After     int    `msgpack:"a"`
	WaitMS    int64  `msgpack:"t"` // for a result at that position, milliseconds
}

// JobResult is one listed result.
type JobResult struct {
	Item  string     `msgpack:"i"` // id of the item
	State jobs.State `msgpack:"s"`
	Text  string     `msgpack:"t"`
}

// JobResults answers JobRead.
type JobResults struct {
	Total   int         `msgpack:"n"` // items of the job
	Results []JobResult `msgpack:"r"`
}

// JobBody asks for the body of an item that is not listed yet.
type JobBody struct {
	Workspace string `msgpack:"w"`
	Job       string `msgpack:"j"`
	Item      string `msgpack:"i"`
}

// JobBodyData answers JobBody.
type JobBodyData struct {
	Body []byte `msgpack:"b"`
}

// JobTexts asks for all texts of a job whose results change no more.
type JobTexts struct {
	Job string `msgpack:"j"`
}

// JobTextsData answers JobTexts.
type JobTextsData struct {
	Texts []string `msgpack:"t"` // in the order of the results
}

// JobYield tells the leader of the job group that online requests have come to
// targets whose slots are all taken.
type JobYield struct {
	Requests map[string]int `msgpack:"r"` // by target id
}

// SlotID names one use of a slot by one life of a gateway.
type SlotID struct {
	Process uint64 `msgpack:"p"`
	Number  uint64 `msgpack:"n"`
}

// SlotRequest asks the broker for a slot of a target.
type SlotRequest struct {
	ID         SlotID   `msgpack:"i"`
	Service    string   `msgpack:"s"`
	DataCentre string   `msgpack:"d"` // of the gateway
	LeftMS     int64    `msgpack:"l"` // until the request's deadline, milliseconds
	Exclude    []string `msgpack:"x,omitempty"`
	Returning  bool     `msgpack:"r,omitempty"` // the caller has been refused before
}

// SlotGrant names the target.
type SlotGrant struct {
	Target string `msgpack:"t"`
	Total  int    `msgpack:"n"` // requests at the target, this one included
}

// SlotRelease ends uses of slots. Failed names targets that broke off.
type SlotRelease struct {
	IDs    []SlotID `msgpack:"i"`
	Failed []string `msgpack:"f,omitempty"`
}
