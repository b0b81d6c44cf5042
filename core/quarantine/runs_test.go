package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// runTable records runs with increasing indexes and crash numbers.
type runTable struct {
	*Verdicts
	index uint64
	nowMS int64
}

func newRunTable() *runTable { return &runTable{Verdicts: NewVerdicts()} }

// crash records a crash of a new target at which each of the requests ran, sent
// with knowledge of all its crashes so far.
func (r *runTable) crash(refs ...Ref) Crash {
	crash := Crash{Target: fmt.Sprint("t", r.index+1), Incarnation: 1}
	r.crashOf(crash, refs...)
	return crash
}

func (r *runTable) crashOf(crash Crash, refs ...Ref) {
	var runs []Run
	for _, ref := range refs {
		runs = append(runs, Run{Ref: ref, KnownCrashes: r.records[ref].Verdict.Crashes})
	}
	r.index++
	r.RecordRuns(r.index, crash, runs, r.nowMS)
}

func (r *runTable) level(ref Ref) Suspicion { return r.records[ref].Verdict.Level }

func TestRequestIsQuarantinedAtThirdCrash(t *testing.T) {
	table := newRunTable()
	for range 2 {
		table.crash(ref(1))
		assert.Equal(t, Suspect, table.level(ref(1)))
	}
	table.crash(ref(1))
	assert.Equal(t, Quarantined, table.level(ref(1)))
	other := Ref{Workspace: "other", Digest: ref(1).Digest}
	assert.Equal(t, Cleared, table.level(other), "another workspace has nothing to do with it")
}

func TestCrashReportedBySeveralSendersCountsOnce(t *testing.T) {
	table := newRunTable()
	crash := table.crash(ref(1))
	table.crashOf(crash, ref(1), ref(2))
	assert.Equal(t, 1, table.records[ref(1)].Verdict.Crashes)
	assert.Equal(t, 1, table.records[ref(2)].Verdict.Crashes, "a later report may name further requests")
}

// All targets that ran a popular request crash at the same moment.
func TestRunsInIgnoranceOfEachOtherAreOnePieceOfEvidence(t *testing.T) {
	table := newRunTable()
	for i := range 5 {
		table.index++
		table.RecordRuns(table.index, Crash{Target: fmt.Sprint("t", i)}, []Run{{Ref: ref(1)}}, 0)
	}
	assert.Equal(t, 1, table.records[ref(1)].Verdict.Crashes)
	assert.Equal(t, Suspect, table.level(ref(1)))
}

// A burst of crashes hits a sound request three times in a row.
func TestSoundRequestInBurstOfCrashesIsNotQuarantined(t *testing.T) {
	table := newRunTable()
	for wave := range 3 {
		table.crash(ref(1))
		for other := range 3 {
			table.crash(ref(byte(10 + 3*wave + other)))
		}
		table.nowMS += 400
	}
	assert.Equal(t, 3, table.records[ref(1)].Verdict.Crashes)
	assert.Equal(t, Suspect, table.level(ref(1)))
	table.nowMS += burstWindow.Milliseconds() + 1
	table.crash(ref(1))
	assert.Equal(t, Quarantined, table.level(ref(1)), "it goes on crashing targets after the burst")
}

func TestBurstShieldsNoRequestBeyondFiveCrashes(t *testing.T) {
	table := newRunTable()
	for n := range byte(5) {
		for other := range byte(3) {
			table.crash(ref(10 + 3*n + other))
		}
		table.crash(ref(1))
	}
	assert.Equal(t, Quarantined, table.level(ref(1)))
}

// Many requests that crash targets come at once: their crashes don't speak for a
// burst.
func TestManyCrashingRequestsAreAllQuarantined(t *testing.T) {
	table := newRunTable()
	for range maxBurstCrashes {
		for n := range byte(20) {
			if table.level(ref(n)) != Quarantined {
				table.crash(ref(n))
			}
		}
	}
	for n := range byte(20) {
		assert.Equal(t, Quarantined, table.level(ref(n)), n)
	}
}

// A sound request shares a target with one that has crashed two others.
func TestKnownSuspectExplainsCrash(t *testing.T) {
	table := newRunTable()
	table.crash(ref(1))
	table.crash(ref(1), ref(2))
	crash := table.crash(ref(1), ref(3))
	table.crashOf(crash, ref(4))
	assert.Equal(t, Quarantined, table.level(ref(1)))
	for _, n := range []byte{2, 3, 4} {
		assert.Equal(t, Cleared, table.level(ref(n)), n)
	}
}

func TestCompleteResponseClearsRequest(t *testing.T) {
	table := newRunTable()
	for range 3 {
		table.crash(ref(1))
	}
	require.True(t, table.Complete(100, []Ref{ref(1), ref(2)}))
	assert.Equal(t, Cleared, table.level(ref(1)))
	assert.Equal(t, Update{Revision: 100, Verdicts: []Verdict{{Workspace: "w", Digest: ref(1).Digest, Revision: 100}}}, table.UpdateSince(99))
}

// A quarantined request gets a chance after an hour; one more crash ends it.
func TestQuarantinedRequestGetsProbation(t *testing.T) {
	table := newRunTable()
	for range 3 {
		table.crash(ref(1))
	}
	table.nowMS = probationAfter.Milliseconds()
	assert.False(t, table.HasExpired(table.nowMS))
	table.nowMS++
	require.True(t, table.HasExpired(table.nowMS))
	require.True(t, table.Expire(50, table.nowMS))
	assert.Equal(t, Suspect, table.level(ref(1)))
	assert.False(t, table.Expire(51, table.nowMS+suspectTTL.Milliseconds()+1), "it is remembered for longer than other suspects")
	table.crash(ref(1))
	assert.Equal(t, Quarantined, table.level(ref(1)))
	assert.True(t, table.Expire(52, table.nowMS+quarantineTTL.Milliseconds()+1))
	assert.Equal(t, Cleared, table.level(ref(1)))
}

// A workspace that fills the table loses its own suspects first, and no workspace's
// quarantined request.
func TestFullTableDropsSuspectsOfLargestWorkspace(t *testing.T) {
	table := newRunTable()
	small := Ref{Workspace: "small", Digest: Digest{1}}
	table.crash(small)
	for range 3 {
		table.crash(ref(1))
	}
	var runs []Run
	for n := range maxVerdicts {
		runs = append(runs, Run{Ref: Ref{Workspace: "w", Digest: Digest{2, byte(n >> 8), byte(n)}}})
	}
	table.nowMS += time.Second.Milliseconds()
	table.RecordRuns(99, Crash{Target: "flood"}, runs, table.nowMS)
	assert.Equal(t, maxVerdicts, table.Len())
	assert.Equal(t, Suspect, table.level(small))
	assert.Equal(t, Quarantined, table.level(ref(1)))
}

// A table restored from an encoded snapshot continues like the original, and a
// subscriber that merges its updates has the same verdicts.
func TestSnapshotContinuesLikeOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original, restored := NewVerdicts(), NewVerdicts()
		for index := uint64(1); index <= 30; index++ {
			encoded, err := msgpack.Marshal(restored.Snapshot())
			require.NoError(t, err)
			var snapshot Snapshot
			require.NoError(t, msgpack.Unmarshal(encoded, &snapshot))
			restored = Restore(snapshot)
			crash := Crash{Target: fmt.Sprint(rapid.IntRange(1, 12).Draw(t, "target"))}
			run := Run{Ref: ref(rapid.ByteRange(1, 4).Draw(t, "ref")), KnownCrashes: rapid.IntRange(0, 3).Draw(t, "known")}
			for _, n := range rapid.SliceOfNDistinct(rapid.ByteRange(5, 9), 0, 3, rapid.ID[byte]).Draw(t, "parts") {
				run.Parts = append(run.Parts, RunPart{Digest: part(n).Digest, KnownCrashes: rapid.IntRange(0, 3).Draw(t, "known of part")})
			}
			at := int64(rapid.IntRange(0, 20_000).Draw(t, "at"))
			complete := rapid.IntRange(0, 9).Draw(t, "complete") == 0
			for _, table := range []*Verdicts{original, restored} {
				if complete {
					table.Complete(index, []Ref{run.Ref})
				} else {
					table.RecordRuns(index, crash, []Run{run}, at)
				}
			}
			require.Equal(t, original.All(), restored.All())
			require.Equal(t, original.UpdateSince(index-1).Verdicts, restored.UpdateSince(index-1).Verdicts)
		}
	})
}

// partRun is a run of a request with prompt parts.
type partRun struct {
	content byte
	parts   []byte
}

func part(n byte) Ref { return Ref{Workspace: "w", Digest: Digest{n}, Kind: PromptPart} }

// crashParts records a crash of a new target at which requests with prompt parts
// ran, sent with knowledge of all crashes so far.
func (r *runTable) crashParts(requests ...partRun) {
	var runs []Run
	for _, request := range requests {
		run := Run{Ref: ref(request.content), KnownCrashes: r.records[ref(request.content)].Verdict.Crashes}
		for _, n := range request.parts {
			run.Parts = append(run.Parts, RunPart{Digest: part(n).Digest, KnownCrashes: r.records[part(n)].Verdict.Crashes})
		}
		runs = append(runs, run)
	}
	r.index++
	r.RecordRuns(r.index, Crash{Target: fmt.Sprint("t", r.index), Incarnation: 1}, runs, r.nowMS)
}

// refuses reports whether a request with the given parts is refused.
func (r *runTable) refuses(parts ...byte) bool {
	has := func(ref Ref) bool {
		for _, n := range parts {
			if part(n) == ref {
				return true
			}
		}
		return false
	}
	suspected := func(ref Ref) bool { return r.level(ref) > Cleared }
	for _, n := range parts {
		if record := r.records[part(n)]; record.Verdict.Level == Quarantined && record.Verdict.Covers(has, suspected) {
			return true
		}
	}
	return false
}

func TestPromptPartIsQuarantinedAtThirdRequest(t *testing.T) {
	table := newRunTable()
	for n := range byte(3) {
		assert.False(t, table.refuses(1, 9))
		table.crashParts(partRun{content: 100 + n, parts: []byte{1, 9}})
		table.Complete(table.index, []Ref{part(1)})
	}
	assert.True(t, table.refuses(9))
	assert.True(t, table.refuses(1, 9))
	assert.False(t, table.refuses(1), "it stood in a complete response")
	assert.Equal(t, Cleared, table.level(Ref{Workspace: "other", Digest: part(9).Digest, Kind: PromptPart}))
	assert.Equal(t, Cleared, table.level(Ref{Workspace: "w", Digest: part(9).Digest}), "a part is no content")
}

// One request crashes target after target: its content is at fault, not the parts
// that it shares with sound requests.
func TestCrashingContentDoesNotConvictItsParts(t *testing.T) {
	table := newRunTable()
	for range 3 {
		table.crashParts(partRun{content: 100, parts: []byte{1, 2}})
	}
	assert.Equal(t, Quarantined, table.level(ref(100)))
	assert.Equal(t, 1, table.records[part(1)].Verdict.Crashes)
	assert.False(t, table.refuses(1, 2))
}

// The bad part is always preceded by the same part, so that either may be the cause.
func TestPartsThatAlwaysStandTogetherAreRefusedTogether(t *testing.T) {
	table := newRunTable()
	for n := range byte(3) {
		table.crashParts(partRun{content: 100 + n, parts: []byte{1, 9}})
	}
	assert.True(t, table.refuses(1, 9))
	assert.True(t, table.refuses(1, 2, 9))
	assert.False(t, table.refuses(1), "the other part may be the cause")
	table.Complete(table.index+1, []Ref{part(1)})
	assert.False(t, table.refuses(1))
	assert.True(t, table.refuses(9), "no other part is left")

	table = newRunTable()
	for n := range byte(3) {
		table.crashParts(partRun{content: 100 + n, parts: []byte{1, 9}})
	}
	table.crashParts(partRun{content: 110, parts: []byte{9}})
	assert.True(t, table.refuses(9), "it crashed a target without the other part")
	assert.False(t, table.refuses(1))
}

// Two bad parts come at once, each in requests of its own, often at one target.
func TestTwoBadPartsAreBothQuarantined(t *testing.T) {
	table := newRunTable()
	for n := range byte(3) {
		table.crashParts(partRun{content: 100 + n, parts: []byte{1, 8}}, partRun{content: 110 + n, parts: []byte{1, 9}})
		table.Complete(table.index, []Ref{part(1)})
	}
	assert.True(t, table.refuses(8))
	assert.True(t, table.refuses(9))
	assert.False(t, table.refuses(1))
}

// A bad part and a request that crashes targets by itself come at once.
func TestBadPartAndCrashingContentAreBothQuarantined(t *testing.T) {
	table := newRunTable()
	for n := range byte(3) {
		table.crashParts(partRun{content: 100 + n, parts: []byte{1, 9}})
		table.crashParts(partRun{content: 50, parts: []byte{1}})
		table.Complete(table.index, []Ref{part(1)})
	}
	assert.True(t, table.refuses(9))
	assert.Equal(t, Quarantined, table.level(ref(50)))
	assert.False(t, table.refuses(1))
}

// A burst of crashes hits sound requests with a part that has not completed yet.
func TestBurstDoesNotQuarantinePromptPart(t *testing.T) {
	table := newRunTable()
	for n := range byte(3) {
		table.crashParts(partRun{content: 110 + n, parts: []byte{3 + n}})
		table.crashParts(partRun{content: 100 + n, parts: []byte{1}})
	}
	assert.False(t, table.refuses(1))
	table.crashParts(partRun{content: 120, parts: []byte{1}})
	table.crashParts(partRun{content: 121, parts: []byte{1}})
	assert.True(t, table.refuses(1), "a burst shields no part beyond five requests")
}

// Runs of different requests at one crash are one piece of evidence, also if two
// senders report them.
func TestCrashCountsOnceForPromptPart(t *testing.T) {
	table := newRunTable()
	for range 2 {
		table.RecordRuns(1, Crash{Target: "t"}, []Run{
			{Ref: ref(100), Parts: []RunPart{{Digest: part(9).Digest}}},
			{Ref: ref(101), Parts: []RunPart{{Digest: part(9).Digest, KnownCrashes: 1}}},
		}, 0)
		table.RecordRuns(2, Crash{Target: "t"}, []Run{{Ref: ref(102), Parts: []RunPart{{Digest: part(9).Digest, KnownCrashes: 1}}}}, 0)
	}
	assert.Equal(t, 1, table.records[part(9)].Verdict.Crashes)
}

func variants(n byte) RunPart { return RunPart{Digest: Digest{n, 2}, Kind: Variants} }

// Requests that differ in their query are quarantined together only if several of them
// crashed targets, and a complete response to any of them speaks for the others.
func TestVariantsAreQuarantinedOnEvidenceAgainstSeveral(t *testing.T) {
	all := Ref{Workspace: "w", Digest: variants(9).Digest, Kind: Variants}
	crash := func(table *runTable, n int, query byte) {
		known := table.records[all].Verdict.Crashes
		part := variants(9)
		part.KnownCrashes = known
		run := Run{Ref: ref(query), KnownCrashes: table.records[ref(query)].Verdict.Crashes, Parts: []RunPart{part}}
		table.RecordRuns(uint64(n), Crash{Target: "t", Incarnation: uint64(n)}, []Run{run}, int64(n)*1000)
	}
	for name, c := range map[string]struct {
		queries []byte
		want    Suspicion
	}{
		"one query":              {[]byte{1, 1, 1, 1}, Suspect},
		"another query":          {[]byte{1, 2, 3}, Quarantined},
		"two queries in turn":    {[]byte{1, 2, 1}, Quarantined},
		"another after the same": {[]byte{1, 1, 1, 2}, Quarantined},
		"two crashes":            {[]byte{1, 2}, Suspect},
	} {
		t.Run(name, func(t *testing.T) {
			table := newRunTable()
			for n, query := range c.queries {
				crash(table, n+1, query)
			}
			assert.Equal(t, c.want, table.records[all].Verdict.Level)
		})
	}
	table := newRunTable()
	crash(table, 1, 1)
	crash(table, 2, 2)
	table.Complete(3, []Ref{all, ref(3)})
	crash(table, 4, 1)
	assert.Equal(t, Suspect, table.records[all].Verdict.Level)
}

// Incident BUDGET: copies of a request that ended several targets in one round run one
// at a time from then on.
func TestSuspectRunsAreTrialsOneAtATime(t *testing.T) {
	table := newRunTable()
	for n := range 3 {
		table.index++
		table.RecordRuns(table.index, Crash{Target: fmt.Sprint("t", n+1), Incarnation: 1}, []Run{{Ref: ref(1)}}, 0)
	}
	assert.Equal(t, Verdict{Workspace: "w", Digest: ref(1).Digest, Level: Suspect, Crashes: 1, Targets: 3, Revision: table.records[ref(1)].Verdict.Revision},
		table.records[ref(1)].Verdict)
	begin := func(holder string, nowMS int64) bool {
		return table.BeginTrial(50, ref(1), Trial{Holder: holder, UntilMS: nowMS + 1000}, 1, nowMS).Allowed
	}
	assert.True(t, begin("a", 0))
	assert.True(t, begin("a", 1), "the same attempt asks again")
	assert.False(t, begin("b", 1))
	assert.True(t, begin("b", 1001), "a trial ends without a report")
	table.EndTrial(50, ref(1), "a")
	assert.False(t, begin("a", 1001), "it was not the trial under way")
	table.EndTrial(50, ref(1), "b")
	assert.True(t, begin("a", 1001))
	assert.False(t, begin("c", 1002))
	table.RecordRuns(51, Crash{Target: "early"}, []Run{{Ref: ref(1)}}, 0)
	assert.False(t, begin("c", 1002), "another run's crash shows late")
	table.RecordRuns(52, Crash{Target: "trial"}, []Run{{Ref: ref(1), Trial: true}}, 0)
	assert.True(t, begin("c", 1002), "its crash ends it")
	table.crash(ref(1))
	assert.False(t, begin("d", 5000), "quarantined")
	assert.True(t, table.HasCrashed("t4", 1))
}

// A suspect without a crash is the first to be evicted from a full table, also while
// it is on trial.
func TestTrialInFullTable(t *testing.T) {
	table := newRunTable()
	for n := range maxVerdicts {
		refs := Ref{Workspace: "w", Digest: Digest{byte(n), byte(n >> 8), 1}}
		table.RecordRuns(uint64(n+1), Crash{Target: fmt.Sprint(n)}, []Run{{Ref: refs}}, 0)
	}
	assert.True(t, table.BeginTrial(9000, ref(0), Trial{Holder: "a", UntilMS: 10}, 1, 0).Allowed)
	assert.Equal(t, maxVerdicts, table.Len())
	restored := Restore(table.Snapshot())
	assert.Equal(t, table.records, restored.records)
}

// A run broke off and its target has not been heard of since: the next run is a trial,
// for all senders, until it shows something.
func TestTrialWithoutVerdictMakesSuspect(t *testing.T) {
	table := newRunTable()
	begin := func(holder string) TrialResult {
		return table.BeginTrial(7, ref(2), Trial{Holder: holder, UntilMS: 10}, 1, 0)
	}
	assert.Equal(t, TrialResult{Allowed: true, Changed: true}, begin("a"))
	assert.Equal(t, Suspect, table.level(ref(2)))
	assert.False(t, begin("b").Allowed)
	assert.True(t, table.EndTrial(8, ref(2), "a"))
	assert.Equal(t, Cleared, table.level(ref(2)))

	begin("c")
	assert.False(t, table.HasExpired(10))
	assert.True(t, table.HasExpired(11))
	table.RecordRuns(9, Crash{Target: "early"}, []Run{{Ref: ref(2)}}, 0)
	table.RecordRuns(10, Crash{Target: "trial"}, []Run{{Ref: ref(2), Trial: true}}, 0)
	assert.Equal(t, 2, table.records[ref(2)].Verdict.Crashes, "a trial is evidence by itself")
}

// A burst of other crashes does not excuse a request that crashed targets in trials,
// and trials leave most targets to sound requests.
func TestTrialsConvictDuringBurstOfCrashes(t *testing.T) {
	for _, trial := range []bool{false, true} {
		table := newRunTable()
		for n := range 3 {
			table.crash(ref(byte(10 + n)))
			table.index++
			run := Run{Ref: ref(1), KnownCrashes: n, Trial: trial && n > 0}
			table.RecordRuns(table.index, Crash{Target: fmt.Sprint("x", n), Incarnation: 1}, []Run{run}, 0)
		}
		assert.Equal(t, trial, table.level(ref(1)) == Quarantined)
	}
	assert.Equal(t, []int{1, 1, 1, 15}, []int{TrialsAtOnce(1), TrialsAtOnce(3), TrialsAtOnce(7), TrialsAtOnce(60)})
	table := newRunTable()
	table.crash(ref(1))
	table.crash(ref(2))
	for n := range 2 {
		trial := Trial{Holder: fmt.Sprint(n), Service: "s", UntilMS: 10}
		assert.Equal(t, n == 0, table.BeginTrial(50, ref(byte(n+1)), trial, 1, 0).Allowed)
	}
	assert.True(t, table.BeginTrial(50, ref(2), Trial{Holder: "b", Service: "other", UntilMS: 10}, 1, 0).Allowed)
}
