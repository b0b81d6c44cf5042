package jobs

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/outcome"
)

func newSpec(id, workspace string, items int) *Spec {
	s := &Spec{ID: id, Workspace: workspace, Route: "r", MaxQueued: 100}
	for i := range items {
		s.Items = append(s.Items, Item{ID: id + string(rune('a'+i)), Body: []byte("body"), Tokens: 10})
	}
	return s
}

func finishCommand(job string, item int, text string) Command {
	return Command{Finish: []Finished{{ItemRef: ItemRef{Job: job, Item: item}, State: Completed, Text: text}}}
}

func TestAJobIsAcceptedOnce(t *testing.T) {
	m := NewMachine()
	require.NotNil(t, m.Apply(Command{Submit: newSpec("j", "w", 3)}).New)
	again := m.Apply(Command{Submit: newSpec("j", "w", 3)})
	assert.Nil(t, again.New)
	assert.Nil(t, again.Error)
	assert.Len(t, m.Jobs(), 1)
	other := m.Apply(Command{Submit: newSpec("j", "other", 3)})
	require.NotNil(t, other.Error)
	assert.Equal(t, outcome.IdempotencyMismatch, other.Error.Code)
}

func TestTokensOfAWorkspaceAreBounded(t *testing.T) {
	m := NewMachine()
	require.Nil(t, m.Apply(Command{Submit: newSpec("j1", "w", 6)}).Error)
	refused := m.Apply(Command{Submit: newSpec("j2", "w", 5)})
	require.NotNil(t, refused.Error)
	assert.Equal(t, outcome.RateLimited, refused.Error.Code)
	require.Nil(t, m.Apply(Command{Submit: newSpec("j3", "other", 10)}).Error, "another workspace has its own limit")
	m.Apply(finishCommand("j1", 0, "x"))
	require.Nil(t, m.Apply(Command{Submit: newSpec("j2", "w", 5)}).Error, "an item with a result no longer counts")
	m.Apply(Command{End: &EndJob{Job: "j1", Workspace: "w"}})
	assert.EqualValues(t, 50, m.OpenTokens("w", "r"))
}

func TestPositionsNeverChange(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{Submit: newSpec("j", "w", 3)})
	m.Apply(finishCommand("j", 2, "first"))
	m.Apply(finishCommand("j", 2, "second run"))
	m.Apply(finishCommand("j", 0, "zero"))
	m.Apply(finishCommand("j", 9, "no such item"))
	job := m.Job("j")
	assert.Equal(t, []Result{{Item: 2, State: Completed, Text: "first"}, {Item: 0, State: Completed, Text: "zero"}}, job.Results)
	assert.Nil(t, job.Items[2].Body)
	assert.NotNil(t, job.Items[1].Body)
	assert.True(t, job.Unfinished())
}

func TestEndedJobAcceptsNoResults(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{Submit: newSpec("j", "w", 2)})
	require.NotNil(t, m.Apply(Command{End: &EndJob{Job: "j", Workspace: "other"}}).Error)
	require.Nil(t, m.Apply(Command{End: &EndJob{Job: "j", Workspace: "w"}}).Error)
	require.Nil(t, m.Apply(Command{End: &EndJob{Job: "j", Workspace: "w"}}).Error, "a resend")
	m.Apply(finishCommand("j", 0, "late"))
	assert.Empty(t, m.Job("j").Results)
	assert.False(t, m.Job("j").Unfinished())
}

// A machine restored from a snapshot and the original must reach equal states
// after the same further commands.
func TestRestoredMachineMatchesOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		copied := NewMachine()
		cut := rapid.IntRange(0, 30).Draw(t, "cut")
		for i := range 30 {
			c := drawCommand(t)
			m.Apply(c)
			if i == cut {
				copied = Restore(clone(m.Snapshot()))
			} else {
				copied.Apply(c)
			}
		}
		if cut == 30 {
			return
		}
		require.Equal(t, m.Snapshot(), copied.Snapshot())
	})
}

func drawCommand(t *rapid.T) Command {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		return Command{Submit: newSpec(id, "w", 3)}
	case 2:
		return finishCommand(id, rapid.IntRange(0, 2).Draw(t, "item"), "text")
	case 3:
		return Command{Failed: []ItemRef{{Job: id, Item: 1}}}
	case 4:
		from := rapid.Int64Range(0, 2).Draw(t, "from")
		return Command{Save: []Progress{{ItemRef: ItemRef{Job: id, Item: 2}, From: from, Last: from + 1, Text: "x"}}}
	default:
		return Command{End: &EndJob{Job: id, Workspace: "w"}}
	}
}

func clone(s Snapshot) Snapshot {
	var out Snapshot
	for _, job := range s.Jobs {
		dup := *job
		dup.Items = append([]Item(nil), job.Items...)
		dup.HasResult = append([]bool(nil), job.HasResult...)
		dup.Failures = append([]int(nil), job.Failures...)
		dup.Results = append([]Result(nil), job.Results...)
		dup.Partial = maps.Clone(job.Partial)
		out.Jobs = append(out.Jobs, &dup)
	}
	return out
}

func TestProgressIsKeptInOrder(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{Submit: newSpec("j", "w", 2)})
	save := func(from, last int64, text string) {
		m.Apply(Command{Save: []Progress{{ItemRef: ItemRef{Job: "j", Item: 1}, From: from, Last: last, Text: text}}})
	}
	save(0, 3, "a\nb\nc")
	save(0, 2, "of another run")
	save(5, 6, "with a gap")
	save(3, 4, "\nd")
	assert.Equal(t, Partial{Text: "a\nb\nc\nd", Last: 4}, m.Job("j").Partial[1])
	m.Apply(finishCommand("j", 1, "a\nb\nc\nd\ne"))
	assert.Empty(t, m.Job("j").Partial)
	save(0, 1, "late")
	assert.Empty(t, m.Job("j").Partial)
}

func TestOnlyFinalJobsAreArchived(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{Submit: newSpec("j", "w", 2)})
	m.Apply(finishCommand("j", 1, "second"))
	m.Archive("j")
	m.Archive("unknown")
	assert.False(t, m.Job("j").Archived, "a result may still come")
	m.Apply(finishCommand("j", 0, "first"))
	before := Restore(Snapshot{Jobs: []*Job{copyOf(m.Job("j"))}})
	assert.Equal(t, []string{"second", "first"}, m.Job("j").Texts())
	m.Archive("j")
	job := m.Job("j")
	assert.True(t, job.Archived)
	assert.Equal(t, []string{"", ""}, job.Texts())
	assert.Equal(t, []int{1, 0}, []int{job.Results[0].Item, job.Results[1].Item}, "positions stay")
	m.Apply(finishCommand("j", 0, "another"))
	assert.Len(t, job.Results, 2)

	m.RestoreTexts(before)
	assert.False(t, job.Archived)
	assert.Equal(t, []string{"second", "first"}, job.Texts())
	m.Archive("j")
	m.RestoreTexts(m)
	m.RestoreTexts(NewMachine())
	assert.True(t, job.Archived, "neither machine holds the texts")
}

func copyOf(job *Job) *Job {
	c := *job
	c.Results = slices.Clone(job.Results)
	return &c
}

// Incident ORDER: saved output never joins texts of two writers, though their event ids
// fit. One that begins again replaces it; one that went on from it goes on.
func TestSavedTextHoldsEventsOfOneWriter(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{Submit: &Spec{ID: "j", Items: make([]Item, 1)}})
	save := func(writer, former uint64, from, last int64, text string) string {
		p := Progress{ItemRef: ItemRef{Job: "j"}, From: from, Last: last, Text: text, Writer: writer, Former: former}
		m.Apply(Command{Save: []Progress{p}})
		return m.Job("j").Partial[0].Text
	}
	assert.Equal(t, "a\nb", save(1, 0, 0, 2, "a\nb"))
	assert.Equal(t, "a\nb", save(2, 0, 2, 3, "\nX"), "another text whose ids fit")
	assert.Equal(t, "a\nb\nc", save(3, 1, 2, 3, "\nc"), "a new leader went on from it")
	assert.Equal(t, "a\nb\nc", save(1, 0, 3, 4, "\nY"), "the former leader is late")
	assert.Equal(t, "a\nb\nc\nd", save(3, 1, 3, 4, "\nd"))
	assert.Equal(t, "A", save(4, 0, 0, 1, "A"), "the text began again")
	assert.Equal(t, "A", save(3, 1, 4, 5, "\ne"))
	assert.Equal(t, "A", save(3, 1, 1, 2, "\nZ"))
	assert.Equal(t, "A\nB", save(4, 0, 1, 2, "\nB"))
	restored := Restore(m.Snapshot())
	assert.Equal(t, m.Job("j").Partial, restored.Job("j").Partial)
}
