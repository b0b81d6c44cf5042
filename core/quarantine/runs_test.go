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
