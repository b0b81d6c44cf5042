package rpc

import (
	"banyanwalk/core/catalog"
	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/quarantine"
	"banyanwalk/core/rollout"
	"banyanwalk/core/roster"
	"banyanwalk/core/streams"
	"banyanwalk/infra/wire"
)

// Methods of a site, in which hosts discover each other from seed addresses and
// targets announce themselves.
const (
	MethodFollow     wire.Method = 100 // stream: FollowPing -> FollowPush
	MethodPropose    wire.Method = 101 // unary: Proposal -> ProposalResponse, served by the leader of a group
	MethodReportRuns wire.Method = 102 // unary: RunsReport -> Ack, served by any control host
	MethodBeginTrial wire.Method = 104 // unary: TrialRequest -> TrialGrant, served by any control host

	MethodRolloutGrant wire.Method = 105 // unary: RolloutReport -> RolloutGrants, served by any control host
	MethodRolloutBegin wire.Method = 106 // unary: RolloutBegin -> Ack, served by any control host
	MethodRolloutShow  wire.Method = 107 // unary: RolloutShow -> RolloutStatus, served by any control host

	MethodJobSubmit  wire.Method = 110 // unary: jobs.Spec -> Ack
	MethodJobRead    wire.Method = 111 // unary: JobRead -> JobResults
	MethodJobBody    wire.Method = 112 // unary: JobBody -> JobBodyResponse
	MethodJobEnd     wire.Method = 113 // unary: jobs.EndJob -> Ack
	MethodJobPreempt wire.Method = 114 // unary: JobPreempt -> Ack
	// 115 was a request for all texts of a job in one message.
	MethodJobTexts wire.Method = 116 // unary: JobTexts -> JobTextsResponse, served by any storage host

	MethodSlotAcquire wire.Method = 120 // unary: SlotRequest -> SlotGrant, served by the broker
	MethodSlotRelease wire.Method = 121 // unary: SlotRelease -> Ack, served by the broker
	MethodStreamFind  wire.Method = 122 // unary: StreamFind -> StreamFound, served by the broker
	MethodStreamBegun wire.Method = 123 // unary: StreamsBegun -> Ack, served by the broker

	// MethodSlots is a stream: SlotsAsk -> SlotsAnswer, served by the broker. It carries the
	// same as MethodSlotAcquire and MethodSlotRelease, without a stream for each request.
	MethodSlots wire.Method = 125

	MethodTokenAcquire wire.Method = 124 // unary: TokenRequest -> Ack, served by the storage host that is the workspace's broker
)

// The roles of the processes of a site.
const (
	RoleGateway = "gateway"
	RoleControl = "control"
	RoleStorage = "store"
)

// Member describes one process of a site to the others.
type Member struct {
	Name        string        `msgpack:"n"`
	Role        string        `msgpack:"r"`
	Incarnation uint64        `msgpack:"p"` // random number drawn at each start of the process
	DataCentre  string        `msgpack:"d"`
	Storage     *StorageState `msgpack:"s,omitempty"` // set for RoleStorage
}

// StorageState is the state of a storage host.
type StorageState struct {
	ID           uint64   `msgpack:"i"` // replica ID, which encodes the wire address
	MayBootstrap bool     `msgpack:"b"` // may be an initial member of the job group
	Leads        bool     `msgpack:"l"`
	Term         uint64   `msgpack:"t"`
	Voters       []uint64 `msgpack:"v,omitempty"` // voting members of the job group, as this host knows them
	Learners     []uint64 `msgpack:"e,omitempty"`
}

// BrokerID returns the ID of the broker that runs on the leader, or 0 if this host is
// not the leader. The ID differs in each term.
func (s *StorageState) BrokerID() uint64 {
	if !s.Leads {
		return 0
	}
	const idBits = 48
	return s.ID ^ s.Term<<idBits
}

// StorageLeader returns the index of the storage host that is leader in the highest
// term, or -1 if there is none. All members must be storage hosts.
func StorageLeader(hosts []Member) int {
	leader := -1
	for i := range hosts {
		if hosts[i].Storage.Leads && (leader < 0 || hosts[i].Storage.Term > hosts[leader].Storage.Term) {
			leader = i
		}
	}
	return leader
}

// MemberLoad is a member's report about itself and its load. Sequence increases with
// each report. With ChangesOnly, Spent holds only the workspaces whose count has
// changed since the previous report on the same stream, and Debts may be left out.
type MemberLoad struct {
	Member      Member                    `msgpack:"m"`
	Sequence    uint64                    `msgpack:"q"`
	Spent       map[string]uint64         `msgpack:"s,omitempty"` // tokens spent by workspace since the start of the process
	Loads       map[string]placement.Load `msgpack:"l,omitempty"` // requests at each target
	BrokerID    uint64                    `msgpack:"b,omitempty"` // broker whose requests Loads counts as brokered; see StorageState.BrokerID
	ChangesOnly bool                      `msgpack:"x,omitempty"`
	Debts       map[string]float64        `msgpack:"d,omitempty"` // by workspace: tokens by which its bucket is overdrawn
	Limits      []placement.LimitReport   `msgpack:"e,omitempty"` // that targets have named to this process
	Leaving     []roster.Leaving          `msgpack:"v,omitempty"` // processes of targets that have said that they leave
}

// FollowPing reports the subscriber's load to a control host.
type FollowPing struct {
	Load           MemberLoad `msgpack:"l"`
	WantsPeerLoads bool       `msgpack:"o"`           // requests the aggregated load of the other processes
	SpentOften     bool       `msgpack:"p,omitempty"` // requests its Spent at the shortest interval, to keep to bounds of quotas
	// AcceptsEarly, in the first ping, requests the catalog even before a quorum has
	// confirmed it.
	AcceptsEarly bool `msgpack:"e,omitempty"`
}

// PeerLoads aggregates the load of all processes except the subscriber.
type PeerLoads struct {
	HostIncarnation uint64                    `msgpack:"h"`           // random number drawn at each start of the control host that computed the aggregate
	Spent           map[string]uint64         `msgpack:"s,omitempty"` // tokens spent by workspace, as far as they changed; grows while HostIncarnation is the same
	Loads           map[string]placement.Load `msgpack:"l,omitempty"` // requests at each target
	BrokerID        uint64                    `msgpack:"b,omitempty"` // broker whose requests Loads counts as brokered
	Debts           map[string]float64        `msgpack:"d,omitempty"` // by workspace: the largest debt at any gateway; until the first push with gateways
	Members         int                       `msgpack:"n"`           // processes, not counting the subscriber
	Gateways        int                       `msgpack:"g"`           // gateways among them
	GatewaysHeard   int                       `msgpack:"r,omitempty"` // gateways among them that have reported very lately
	WithoutLoads    bool                      `msgpack:"x,omitempty"` // Loads, BrokerID and Members are left out, and those sent before still count
}

// TargetReport is a target's report and the time since its arrival.
type TargetReport struct {
	Report  roster.Report          `msgpack:"r"`
	AgeMS   int64                  `msgpack:"a"`           // milliseconds
	Limit   *placement.LimitReport `msgpack:"l,omitempty"` // newest reading of the limit that the target names; nil: it never named one
	Leaving bool                   `msgpack:"v,omitempty"` // the process has said that it leaves
}

// FollowPush carries the changes since the previous push. The first one carries the
// full state.
type FollowPush struct {
	Catalog *PackedCatalog `msgpack:"c,omitempty"`
	// EarlyCatalog is committed, but may be older than what was acknowledged before
	// the control host started. ConfirmedRevision is the revision of such a catalog
	// once it is known to be current; 0: nothing new is known. The catalog is not sent
	// again, so a follower that does not act on an early one keeps it until then.
	EarlyCatalog      *PackedCatalog     `msgpack:"e,omitempty"`
	ConfirmedRevision uint64             `msgpack:"k,omitempty"`
	Verdicts          *quarantine.Update `msgpack:"v,omitempty"`
	Targets           []TargetReport     `msgpack:"t,omitempty"`
	Leaving           []roster.Leaving   `msgpack:"l,omitempty"` // processes of targets that take no more requests, also of targets that the sender does not know
	StorageHosts      []Member           `msgpack:"m,omitempty"` // all recently seen storage hosts, if any of them changed
	PeerLoads         *PeerLoads         `msgpack:"u,omitempty"` // if FollowPing requested it
	ControlHosts      []string           `msgpack:"o,omitempty"` // wire addresses of the control hosts
	// ConfirmedAgeMS is the time in milliseconds since a quorum confirmed that the
	// sender's catalog was current; nil if it is not reported.
	ConfirmedAgeMS *int64 `msgpack:"f,omitempty"`
	AcceptsChanges bool   `msgpack:"x,omitempty"` // the sender takes reports with MemberLoad.ChangesOnly
	Relay          bool   `msgpack:"y,omitempty"` // the sender is not a control host; only ControlHosts is set
}

// RunsReport is a gateway's report of requests that may crash targets.
type RunsReport struct {
	Member    string                `msgpack:"m"` // name of the gateway
	Crashes   []catalog.CrashReport `msgpack:"c,omitempty"`
	Completed []quarantine.Ref      `msgpack:"d,omitempty"` // suspects that ran to a complete response
	Ended     []catalog.EndedTrial  `msgpack:"e,omitempty"` // trials that showed nothing
}

// TrialRequest asks for the only run of a suspect. See quarantine.Trial.
type TrialRequest struct {
	Ref         quarantine.Ref `msgpack:"r"`
	Holder      string         `msgpack:"h"` // see quarantine.Trial
	Service     string         `msgpack:"s"` // whose targets it may crash
	RemainingMS int64          `msgpack:"l"` // time until the attempt's deadline, milliseconds
}

// TrialGrant is the response to TrialRequest.
type TrialGrant struct {
	Allowed bool `msgpack:"a"`
	Crashes int  `msgpack:"c"` // of the subject that are known
}

// RolloutReport is one process's evidence on rollouts, and asks for requests that it may
// send to the new versions.
type RolloutReport struct {
	Member      string             `msgpack:"m"`
	Incarnation uint64             `msgpack:"p"` // of the process, with whose start the counts began
	Evidence    []rollout.Evidence `msgpack:"e,omitempty"`
	Wanted      []RolloutGrant     `msgpack:"w,omitempty"`
	Forwarded   bool               `msgpack:"f,omitempty"` // by another control host, which took the receiver for the leader
}

// RolloutGrant is a number of requests to the new version of a service. A grant of no
// requests says that the rollout is in rollout.Finishing, for TTLMS.
type RolloutGrant struct {
	Service  string `msgpack:"s"`
	Version  string `msgpack:"v"`
	Requests int    `msgpack:"n"`
	TTLMS    int64  `msgpack:"t,omitempty"` // milliseconds for which a grant may be spent
}

// RolloutGrants is the response to RolloutReport.
type RolloutGrants struct {
	Grants []RolloutGrant `msgpack:"g,omitempty"`
}

// RolloutBegin orders a rollout.
type RolloutBegin struct {
	Service    string `msgpack:"s"`
	Version    string `msgpack:"v"`
	DurationMS int64  `msgpack:"d"`
}

// RolloutShow asks for the newest rollout of a service.
type RolloutShow struct {
	Service   string `msgpack:"s"`
	Forwarded bool   `msgpack:"f,omitempty"` // see RolloutReport
}

// RolloutStatus is the leader's view of a rollout, for operators.
type RolloutStatus struct {
	Rollout rollout.Rollout `msgpack:"r" json:"rollout"`
	Phase   string          `msgpack:"p" json:"phase"`
	LeftMS  int64           `msgpack:"l" json:"left_ms"`    // until the time limit; 0 if it has ended
	Allowed uint64          `msgpack:"a" json:"allowed"`    // requests that may have been granted to the new version
	Reached uint64          `msgpack:"n" json:"reached"`    // requests that provably reached the service since the start
	Why     string          `msgpack:"w" json:"why"`        // it stands where it does
	Routes  []RolloutRoute  `msgpack:"o" json:"routes"`     // sorted; none once the rollout has ended
	All     RolloutRoute    `msgpack:"t" json:"all_routes"` // their sum
}

// RolloutRoute holds the responses on one route since the start of a rollout.
type RolloutRoute struct {
	Route string         `msgpack:"r" json:"route"`
	New   rollout.Counts `msgpack:"n" json:"new"` // of the new version
	Old   rollout.Counts `msgpack:"o" json:"old"` // of the other versions
}

// Proposal is an encoded command for the leader of a group.
type Proposal struct {
	Group   uint32 `msgpack:"g"`
	Command []byte `msgpack:"c"`
}

// ProposalResponse carries the encoded result of a command.
type ProposalResponse struct {
	Result []byte `msgpack:"r"`
}

// JobRead requests the results of a job, starting at position After.
type JobRead struct {
	Workspace string `msgpack:"w"`
	Job       string `msgpack:"j"`
	After     int    `msgpack:"a"`
	WaitMS    int64  `msgpack:"t"` // longest time to wait for a result at that position, milliseconds
}

// JobResult is one entry in the list of results.
type JobResult struct {
	Item  string     `msgpack:"i"` // ID of the item
	State jobs.State `msgpack:"s"`
	Text  string     `msgpack:"t"`
}

// JobResults is the response to JobRead.
type JobResults struct {
	Total   int         `msgpack:"n"` // number of items of the job
	Results []JobResult `msgpack:"r"`
}

// JobBody requests the body of an item whose result is not in the list yet.
type JobBody struct {
	Workspace string `msgpack:"w"`
	Job       string `msgpack:"j"`
	Item      string `msgpack:"i"`
}

// JobBodyResponse is the response to JobBody.
type JobBodyResponse struct {
	Body []byte `msgpack:"b"`
}

// JobTexts requests the texts of a job whose results no longer change, from a position
// on. All of them may exceed the size of a frame.
type JobTexts struct {
	Job  string `msgpack:"j"`
	From int    `msgpack:"f,omitempty"` // position of the first result
}

// JobTextsResponse is the response to JobTexts.
type JobTextsResponse struct {
	Texts []string `msgpack:"t"` // in the order of the results; at least one if there are more
	Total int      `msgpack:"n"` // of the job's results
}

// JobPreempt tells the leader of the job group that online requests have arrived at
// targets with no free slot, so that it preempts batch items there.
type JobPreempt struct {
	Requests map[string]int `msgpack:"r"` // number of requests by target ID
}

// SlotID identifies one use of a slot by one gateway process. Incarnation is that of
// the gateway's Member.
type SlotID struct {
	Incarnation uint64 `msgpack:"p"`
	Number      uint64 `msgpack:"n"`
}

// SlotRequest requests a slot of a target from the broker.
type SlotRequest struct {
	ID          SlotID   `msgpack:"i"`
	Service     string   `msgpack:"s"`
	DataCentre  string   `msgpack:"d"` // of the gateway
	RemainingMS int64    `msgpack:"l"` // time until the request's deadline, milliseconds
	Exclude     []string `msgpack:"x,omitempty"`
	IsRetry     bool     `msgpack:"r,omitempty"` // an earlier attempt of the caller was refused
	IsSuspect   bool     `msgpack:"u,omitempty"` // the request may crash its target
	Workspace   string   `msgpack:"w,omitempty"` // empty: none
	Priority    int      `msgpack:"p,omitempty"` // of the workspace or else of the route; 0 is the highest
	Tokens      int64    `msgpack:"t,omitempty"` // that the target may hold for the request; 0: unknown
	ObjectiveMS int64    `msgpack:"o,omitempty"` // time until the first byte is late, milliseconds; negative: it is late

	Stream  streams.Key `msgpack:"k,omitempty"` // of a stream that its caller may take up again later; else 0
	Version *string     `msgpack:"v,omitempty"` // software version that the target must have; nil: any
}

// SlotGrant is the response to SlotRequest and names the target.
type SlotGrant struct {
	Target  string `msgpack:"t"`
	Total   int    `msgpack:"n"`           // requests at the target, including this one
	Version string `msgpack:"v"`           // of the target's software, as the broker knows it
	Pace    int    `msgpack:"p,omitempty"` // that the broker expects of the target, percent; 0: unknown
}

// TokenRequest requests a token of a workspace's rate. A workspace over its limit gets code
// rate_limited.
type TokenRequest struct {
	Workspace string `msgpack:"w"`
}

// StreamFind asks where a stream began that its caller takes up again. Service is the
// only one that it can be at, or empty.
type StreamFind struct {
	Stream  streams.Key `msgpack:"k"`
	Service string      `msgpack:"s,omitempty"`
}

// StreamFound is the response to StreamFind.
type StreamFound struct {
	Known  bool           `msgpack:"k"`
	Origin streams.Origin `msgpack:"o"`
}

// StreamsBegun reports streams whose target the gateway has chosen by itself.
type StreamsBegun struct {
	Begun []streams.Group `msgpack:"b"`
}

// SlotRelease releases slots. Failed lists the IDs of targets that failed a request.
// Runs and Loads tell what the gateway saw of targets; Loads also come without releases.
type SlotRelease struct {
	IDs    []SlotID               `msgpack:"i"`
	Failed []string               `msgpack:"f,omitempty"`
	Errors []SlotID               `msgpack:"e,omitempty"` // of IDs: the target answered with a server error
	Runs   []placement.RunReport  `msgpack:"r,omitempty"`
	Loads  []placement.LoadReport `msgpack:"l,omitempty"`
}

// SlotsAsk is what a gateway has for the broker at one moment.
type SlotsAsk struct {
	Acquire []SlotRequest `msgpack:"a,omitempty"` // each is answered, in any order
	Release *SlotRelease  `msgpack:"r,omitempty"` // is not answered
}

// SlotsAnswer holds the answers to one or more SlotRequests.
type SlotsAnswer struct {
	Answers []SlotAnswer `msgpack:"a"`
}

// SlotAnswer is the answer to one SlotRequest: a grant, or the reason why there is none.
type SlotAnswer struct {
	ID      SlotID         `msgpack:"i"`
	Grant   *SlotGrant     `msgpack:"g,omitempty"`
	Refusal *outcome.Error `msgpack:"e,omitempty"`
}
