package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// After a response that says that its target leaves, this gateway sends nothing more
// there, without any control host and though the target's reports say that it is ready.
func TestLeavingTargetGetsNothingMore(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Leaving: "1"}, standin.Behaviour{})
	served := func() int { return len(f.targets[0].Runs()) }
	for n := 0; served() == 0; n++ {
		require.Less(t, n, 100)
		_, _, err := f.send("/safe/x", fmt.Sprint("a", n))
		require.NoError(t, err)
	}
	for n := range 30 {
		if n == 10 {
			late := f.targets[0].Report("llm", "a", 8)
			late.Report.Sequence = 9
			f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{late}})
		}
		response, _, err := f.send("/safe/x", fmt.Sprint("b", n))
		require.NoError(t, err)
		assert.Equal(t, 200, response.StatusCode)
	}
	assert.Equal(t, 1, served())
}
