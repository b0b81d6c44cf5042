package jobhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/jobs"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/standin"
)

// maxItemBytes bounds what an endless response may get rid of: the limits of one response, and
// what the socket buffers on both sides hold.
const maxItemBytes = 16 << 20

// Report of other operators: an engine sends bytes without end, and the machine that called it
// keeps them all and runs out of memory. A storage host runs the items of jobs; they complete at
// another target.
func TestItemResponseWithoutEndFillsMemory(t *testing.T) {
	for name, response := range standin.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, standin.Behaviour{Events: 3})
			endless, err := standin.NewEndless(headerNames, response)
			require.NoError(t, err)
			defer endless.Close()
			report := f.targets[0].Report("llm", "", targetSlots)
			report.Report.ID, report.Report.Addr = "endless", endless.Addr
			f.follower.ApplyPush(time.Now(), "test", &rpc.FollowPush{Targets: []rpc.TargetReport{report}})
			const items = 2 * targetSlots
			require.NoError(t, f.submit("j", items))
			for _, result := range f.waitForResults("j", items) {
				assert.Equal(t, jobs.Completed, result.State)
				assert.Equal(t, expectedText(result.Item, 3), result.Text)
			}
			assert.Positive(t, endless.Requests())
			assert.Less(t, endless.Most(), int64(maxItemBytes))
		})
	}
}

// Guards against an item that goes again and again to the target that refuses it, which has the
// most free slots, while another one would run it.
func TestTargetThatRefusesHoldsUpItems(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Refuse: true}, standin.Behaviour{Events: 3})
	require.NoError(t, f.submit("j", 1))
	assert.Equal(t, jobs.Completed, f.waitForResults("j", 1)[0].State)
}
