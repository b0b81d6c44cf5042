package jobhost

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// archived waits until the texts of a job are on the disk of the host, and only
// there.
func (f *fixture) archived(id string) {
	f.t.Helper()
	require.Eventually(f.t, func() (archived bool) {
		f.host.state.read(func(m *jobs.Machine, _ map[string]time.Time) { archived = m.Job(id).Archived })
		return archived
	}, patience, time.Millisecond)
}

// archivedJob returns a host with the archived job "j" of five items, its
// results and the host's snapshot.
func archivedJob(t *testing.T) (f *fixture, results []rpc.JobResult, snapshot []byte) {
	f = newFixture(t, standin.Behaviour{Events: 30})
	require.NoError(t, f.submit("j", 5))
	results = f.results("j", 5)
	f.archived("j")
	snapshot, err := f.host.state.Snapshot()
	require.NoError(t, err)
	return f, results, snapshot
}

func membersOf(one, other *fixture) []rpc.Member {
	return []rpc.Member{
		{Name: "s1", Role: rpc.RoleStore, Store: one.host.Storage()},
		{Name: "s2", Role: rpc.RoleStore, Store: other.host.Storage()},
	}
}

// Results that are kept in memory and in each snapshot outgrow a host
// (nsl-dakar-grown quiet-1 with 130 s of traffic: all storage hosts ended, over
// and over, with memory over the limit).
func TestTextsOfFinishedJobsLeaveTheMemory(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 30}, standin.Behaviour{Events: 30})
	require.NoError(t, f.submit("j", 20))
	before := f.results("j", 20)
	f.archived("j")
	assert.Equal(t, before, f.results("j", 20))
	encoded, err := f.host.state.Snapshot()
	require.NoError(t, err)
	texts := 0
	for _, r := range before {
		texts += len(r.Text)
	}
	assert.Less(t, len(encoded), texts, "nor are they in the snapshot")
	part, err := f.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j", After: 17})
	require.NoError(t, err)
	assert.Equal(t, before[17:], part.Results)
	part, err = f.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j", After: 20})
	require.NoError(t, err)
	assert.Empty(t, part.Results)
}

// A host whose state comes from a snapshot fetches the texts; until then it
// takes no vote and answers no read of them.
func TestTextsThatASnapshotLeavesOutAreFetched(t *testing.T) {
	one, want, encoded := archivedJob(t)
	other := newFixture(t)
	require.NoError(t, other.host.state.Restore(encoded))
	assert.False(t, other.host.state.complete.Load())
	_, err := other.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j"})
	require.Error(t, err)
	assert.True(t, outcome.IsCode(err, outcome.NoQuorum), "%v", err)
	other.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Stores: membersOf(one, other)})
	require.Eventually(t, other.host.state.complete.Load, patience, time.Millisecond)
	found, err := other.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j"})
	require.NoError(t, err)
	assert.Equal(t, want, found.Results)
}

// A file that the disk has damaged is fetched from another host.
func TestDamagedTextsAreFetchedAgain(t *testing.T) {
	one, want, encoded := archivedJob(t)
	other := newFixture(t)
	stores := membersOf(one, other)
	other.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Stores: stores})
	require.NoError(t, other.host.state.Restore(encoded))
	require.Eventually(t, other.host.state.complete.Load, patience, time.Millisecond)

	files, err := os.ReadDir(filepath.Join(other.dir, archiveFolder))
	require.NoError(t, err)
	require.Len(t, files, 1)
	path := filepath.Join(other.dir, archiveFolder, files[0].Name())
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	content[len(content)/2] ^= 1
	require.NoError(t, os.WriteFile(path, content, 0o600))
	require.Eventually(t, func() bool {
		other.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Stores: stores})
		found, err := other.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j"})
		return err == nil && assert.Equal(t, want, found.Results)
	}, patience, 10*time.Millisecond)
}

// The id of a job that was dropped may be used again at once.
func TestAnIDThatIsUsedAgainHasNoOldTexts(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 3})
	require.NoError(t, f.submit("j", 1))
	f.results("j", 1)
	f.archived("j")
	_, err := f.host.group.Load().Execute(t.Context(), jobs.Command{Drop: []string{"j"}})
	require.NoError(t, err)
	require.NoError(t, f.submit("j", 2))
	want := f.results("j", 2)
	f.archived("j")
	assert.Equal(t, want, f.results("j", 2))
}

func TestTextsOfDroppedJobsAreDropped(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 3})
	require.NoError(t, f.submit("j1", 1))
	require.NoError(t, f.submit("j2", 1))
	f.results("j1", 1)
	f.results("j2", 1)
	f.archived("j1")
	f.archived("j2")
	_, err := f.host.group.Load().Execute(t.Context(), jobs.Command{Drop: []string{"j1"}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !f.host.archiver.files.Has("j1") }, patience, time.Millisecond)
	f.host.archiver.clean()
	assert.True(t, f.host.archiver.files.Has("j2"))
}
