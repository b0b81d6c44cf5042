package outcome

// Code is a numbered result code. Codes are stable: a number is never reused.
// docs/RESULT_CODES.md lists them; a test checks that the page matches the code.
type Code uint16

// Ranges of codes: 1xx for the request itself, 2xx for keys and limits, 3xx for
// routing and targets, 4xx for batch jobs and idempotency, 5xx for bundles and
// operators, 9xx for the system.
const (
	BadRequest          Code = 100
	BodyTooLarge        Code = 101
	UnknownRoute        Code = 102
	UnknownModel        Code = 103
	DeadlineExceeded    Code = 104
	CallerGone          Code = 105
	CallerSlow          Code = 106
	HeadTooLarge        Code = 107
	BodyStalled         Code = 108
	KeyMissing          Code = 200
	KeyUnknown          Code = 201
	NotAllowed          Code = 202
	RateLimited         Code = 203
	StateStale          Code = 300
	NoTarget            Code = 301
	TargetBusy          Code = 302
	TargetFailed        Code = 303
	TargetLeaving       Code = 304
	TargetCold          Code = 305
	Quarantined         Code = 306
	AlreadyAttempted    Code = 307
	StreamBroken        Code = 308
	FencedOrder         Code = 309
	RetryBudgetSpent    Code = 310
	BadTargetResponse   Code = 311
	Preempted           Code = 312
	TargetCrashed       Code = 313
	SuspectHeld         Code = 314
	StreamUnknown       Code = 315
	VersionGone         Code = 316
	BeyondShare         Code = 317
	JobNotFound         Code = 400
	FileNotFound        Code = 401
	BadBatchLine        Code = 402
	JobEnded            Code = 403
	ItemSuperseded      Code = 404
	ItemImpossible      Code = 405
	JobExpired          Code = 406
	IdempotencyMismatch Code = 407
	IdempotencyPending  Code = 408
	JobCancelled        Code = 409
	BundleInvalid       Code = 500
	BundleSignature     Code = 501
	BundleConflict      Code = 502
	BundleOutdated      Code = 503
	OperatorUnknown     Code = 504
	UnknownName         Code = 505
	RolloutActive       Code = 506
	RolloutUnbounded    Code = 507
	Internal            Code = 900
	Draining            Code = 901
	NotLeader           Code = 902
	NoQuorum            Code = 903
	Unreachable         Code = 904
	BadFrame            Code = 905
	ProtocolVersion     Code = 906
	Overloaded          Code = 907
	Cancelled           Code = 908
)

// Entry is the documentation of one code.
type Entry struct {
	Code   Code
	Name   string // wire name, snake case
	HTTP   int    // status of the gateway's or control's response
	Cause  string
	Remedy string
}

// IsTargetFailure reports whether the target failed while the request was with it.
func (c Code) IsTargetFailure() bool { return c == TargetFailed || c == TargetCrashed }
