package jobhost

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/services/standin"
)

// Guards against jobs that end the storage hosts for their memory: tokens were bounded, bytes
// were not, and accepted jobs could not be read any more (reviewkit burst and queue).
func TestJobsBeyondMemoryAreRefused(t *testing.T) {
	const memory, body = 8 << 20, 400 << 10 // two of these bodies may be open
	f := newFixture(t, standin.Behaviour{Events: 1, HangAfter: 1})
	f.host.room = newJobRoom(memory, f.host.cfg.Metrics)
	submit := func(id string) error {
		spec := &jobs.Spec{ID: id, Workspace: "w", Route: "lots", Host: "h", CompletionMS: 60_000, MaxWaitMS: 60_000, MaxAttempts: 2, Document: 1,
			Items: []jobs.Item{{ID: id, Path: "/lots/1", Body: make([]byte, body), Tokens: 100}}}
		_, err := f.host.submit(t.Context(), spec)
		return err
	}
	for i := range 2 {
		require.NoError(t, submit(fmt.Sprint("job", i)))
	}
	refusal := outcome.From(submit("job2"))
	assert.Equal(t, outcome.Overloaded, refusal.Code)
	assert.Equal(t, outcome.NotRun, refusal.Outcome)
	assert.NoError(t, submit("job0"), "a job that is held already is accepted again")
	f.targets[0].SetBehaviour(func(string) standin.Behaviour { return standin.Behaviour{Events: 1} })
	_, err := f.host.end(t.Context(), &jobs.EndJob{Job: "job0", Workspace: "w"})
	require.NoError(t, err)
	assert.NoError(t, submit("job2"), "the other's bytes are free again")
}
