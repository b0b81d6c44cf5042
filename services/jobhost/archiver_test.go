package jobhost

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
	"banyanwalk/services/standin"
)

// waitUntilArchived waits until the host has moved the texts of a job from memory
// to disk.
func (f *fixture) waitUntilArchived(id string) {
	f.t.Helper()
	require.Eventually(f.t, func() (archived bool) {
		f.host.state.read(func(m *jobs.Machine, _ map[string]time.Time) { archived = m.Job(id).Archived })
		return archived
	}, eventuallyTimeout, time.Millisecond)
}

// newArchivedJob returns a host with the archived job "j" of five items, the job's
// results and a snapshot of the host.
func newArchivedJob(t *testing.T) (f *fixture, results []rpc.JobResult, snapshot []byte) {
	f = newFixture(t, standin.Behaviour{Events: 30})
	require.NoError(t, f.submit("j", 5))
	results = f.waitForResults("j", 5)
	f.waitUntilArchived("j")
	snapshot, err := f.host.state.Snapshot()
	require.NoError(t, err)
	return f, results, snapshot
}

func storageMembers(one, other *fixture) []rpc.Member {
	return []rpc.Member{
		{Name: "s1", Role: rpc.RoleStorage, Storage: one.host.StorageState()},
		{Name: "s2", Role: rpc.RoleStorage, Storage: other.host.StorageState()},
	}
}

// Guards against results that stay in memory and in each snapshot: with 130 s of
// traffic (nsl-dakar-grown quiet-1) all storage hosts repeatedly exceeded their
// memory limit and exited.
func TestTextsOfFinishedJobsMoveToDisk(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 30}, standin.Behaviour{Events: 30})
	require.NoError(t, f.submit("j", 20))
	before := f.waitForResults("j", 20)
	f.waitUntilArchived("j")
	assert.Equal(t, before, f.waitForResults("j", 20))
	encoded, err := f.host.state.Snapshot()
	require.NoError(t, err)
	texts := 0
	for _, r := range before {
		texts += len(r.Text)
	}
	assert.Less(t, len(encoded), texts, "the snapshot does not contain them either")
	page, err := f.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j", After: 17})
	require.NoError(t, err)
	assert.Equal(t, before[17:], page.Results)
	page, err = f.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j", After: 20})
	require.NoError(t, err)
	assert.Empty(t, page.Results)
}

// A host whose state comes from a snapshot fetches the texts from another host.
// Until then it reports itself as incomplete, so it gets no vote, and it rejects
// reads of them.
func TestTextsMissingFromSnapshotAreFetched(t *testing.T) {
	source, want, encoded := newArchivedJob(t)
	restored := newFixture(t)
	require.NoError(t, restored.host.state.Restore(encoded))
	assert.False(t, restored.host.state.hasAllTexts.Load())
	_, err := restored.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j"})
	require.Error(t, err)
	assert.True(t, outcome.IsCode(err, outcome.NoQuorum), "%v", err)
	restored.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{StorageHosts: storageMembers(source, restored)})
	require.Eventually(t, restored.host.state.hasAllTexts.Load, eventuallyTimeout, time.Millisecond)
	found, err := restored.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j"})
	require.NoError(t, err)
	assert.Equal(t, want, found.Results)
}

// Guards against texts of one job that exceed a frame together: a host whose state came from
// a snapshot never got them and never a vote, and the next lost disk took the majority
// (review/1).
func TestTextsBeyondOneFrameAreFetched(t *testing.T) {
	const count = 20
	source := newFixture(t) // no target: the test finishes the items
	require.NoError(t, source.submit("j", count))
	want := make([]rpc.JobResult, count)
	size := 0
	for i := range want {
		want[i] = rpc.JobResult{Item: fmt.Sprintf("j-%d", i), State: jobs.Completed, Text: strings.Repeat(string(rune('a'+i)), maxTextBytes-1)}
		size += len(want[i].Text)
		finish := jobs.Command{Finish: []jobs.Finished{{ItemRef: jobs.ItemRef{Job: "j", Item: i}, State: jobs.Completed, Text: want[i].Text}}}
		_, err := source.host.group.Load().Execute(t.Context(), finish)
		require.NoError(t, err)
	}
	require.Greater(t, size, wire.MaxFrameBytes)
	unarchived, err := source.host.archiver.serveTexts(t.Context(), &rpc.JobTexts{Job: "j", From: 1})
	require.NoError(t, err)
	assert.Equal(t, want[1].Text, unarchived.Texts[0])
	source.waitUntilArchived("j")
	encoded, err := source.host.state.Snapshot()
	require.NoError(t, err)
	restored := newFixture(t)
	require.NoError(t, restored.host.state.Restore(encoded))
	restored.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{StorageHosts: storageMembers(source, restored)})
	require.Eventually(t, func() bool {
		// Repeated, since the list of storage hosts expires after some seconds.
		restored.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{StorageHosts: storageMembers(source, restored)})
		return restored.host.state.hasAllTexts.Load()
	}, eventuallyTimeout, time.Millisecond)
	var got []rpc.JobResult
	for len(got) < count {
		page, err := restored.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j", After: len(got)})
		require.NoError(t, err)
		require.NotEmpty(t, page.Results)
		got = append(got, page.Results...)
	}
	assert.True(t, slices.Equal(want, got), "the texts differ")
}

// A file that is damaged on disk is fetched again from another host.
func TestDamagedTextsAreFetchedAgain(t *testing.T) {
	source, want, encoded := newArchivedJob(t)
	restored := newFixture(t)
	stores := storageMembers(source, restored)
	restored.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{StorageHosts: stores})
	require.NoError(t, restored.host.state.Restore(encoded))
	require.Eventually(t, restored.host.state.hasAllTexts.Load, eventuallyTimeout, time.Millisecond)

	files, err := os.ReadDir(filepath.Join(restored.dir, archiveDir))
	require.NoError(t, err)
	require.Len(t, files, 1)
	path := filepath.Join(restored.dir, archiveDir, files[0].Name())
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	content[len(content)/2] ^= 1
	require.NoError(t, os.WriteFile(path, content, 0o600))
	require.Eventually(t, func() bool {
		restored.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{StorageHosts: stores})
		found, err := restored.host.readResults(t.Context(), &rpc.JobRead{Workspace: "w", Job: "j"})
		return err == nil && assert.Equal(t, want, found.Results)
	}, eventuallyTimeout, 10*time.Millisecond)
}

// A dropped job's id may be reused at once, before the old texts are removed.
func TestReusedJobIDHasNoOldTexts(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 3})
	require.NoError(t, f.submit("j", 1))
	f.waitForResults("j", 1)
	f.waitUntilArchived("j")
	_, err := f.host.group.Load().Execute(t.Context(), jobs.Command{Drop: []string{"j"}})
	require.NoError(t, err)
	require.NoError(t, f.submit("j", 2))
	want := f.waitForResults("j", 2)
	f.waitUntilArchived("j")
	assert.Equal(t, want, f.waitForResults("j", 2))
}

func TestTextsOfDroppedJobsAreDropped(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Events: 3})
	require.NoError(t, f.submit("j1", 1))
	require.NoError(t, f.submit("j2", 1))
	f.waitForResults("j1", 1)
	f.waitForResults("j2", 1)
	f.waitUntilArchived("j1")
	f.waitUntilArchived("j2")
	_, err := f.host.group.Load().Execute(t.Context(), jobs.Command{Drop: []string{"j1"}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !f.host.archiver.files.Has("j1") }, eventuallyTimeout, time.Millisecond)
	f.host.archiver.removeOrphans()
	assert.True(t, f.host.archiver.files.Has("j2"))
}
