package load

import (
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestScheduleIsSeededAndOpenLoop(t *testing.T) {
	p := &Plan{Seed: 7, Duration: 20 * time.Second, Online: []OnlineTraffic{
		{Workspace: "a", Rate: 100, Arrivals: Poisson, BurstSize: 1},
		{Workspace: "b", Rate: 50, Arrivals: Bursts, BurstSize: 10},
		{Workspace: "c", Rate: 10, Arrivals: Uniform, BurstSize: 1},
	}}
	arrivals := schedule(p, Variant{})
	assert.Equal(t, arrivals, schedule(p, Variant{}))
	counts := make([]int, 3)
	for i, a := range arrivals {
		counts[a.trafficIndex]++
		if i > 0 {
			assert.GreaterOrEqual(t, a.at, arrivals[i-1].at)
		}
	}
	assert.InDelta(t, 2000, counts[0], 200)
	assert.InDelta(t, 1000, counts[1], 350)
	assert.InDelta(t, 200, counts[2], 1)
}

// Guards against a negative gateway index for a nonce above MaxInt64.
func TestPickGatewayAcceptsAnyNonce(t *testing.T) {
	gateways := []string{"a", "b"}
	assert.Equal(t, "b", pickGateway(gateways, math.MaxUint64, 0))
	assert.Equal(t, "a", pickGateway(gateways, math.MaxUint64, 1))
}

// Guards against false alarms of the oracle: a strict token bucket makes no wrong
// refusal, in whatever order it decides the requests of a burst.
func TestOracleReportsNoWrongRefusalsOfStrictLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 100).Draw(t, "rate")
		burst := rapid.IntRange(1, 20).Draw(t, "burst")
		reference := newTokenBucket(rate, burst)
		var results []result
		sentAt := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "bursts") {
			sentAt += time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(200*time.Millisecond)).Draw(t, "gap"))
			group := make([]result, rapid.IntRange(1, 40).Draw(t, "size"))
			for i := range group {
				reference.refill(sentAt)
				limited := reference.tokens < 1
				if !limited {
					reference.admit(sentAt)
				}
				group[i] = result{rateLimited: limited, admitted: !limited}
			}
			for i, r := range rapid.Permutation(group).Draw(t, "order") {
				r.sent = sentAt + time.Duration(i)
				r.ended = sentAt + time.Duration(len(group))
				results = append(results, r)
			}
		}
		assert.Zero(t, countWrongRefusals(results, rate, burst))
	})
}

func TestOracleReportsWrongRefusals(t *testing.T) {
	refused := func(sent time.Duration) result {
		return result{sent: sent, ended: sent + time.Millisecond, rateLimited: true}
	}
	tests := []struct {
		name    string
		results []result
		wrong   int
	}{
		{"token refilled before the request", []result{{sent: 0, admitted: true}, refused(time.Second)}, 1},
		{"bucket empty", []result{{sent: 0, admitted: true}, refused(time.Millisecond)}, 0},
		{"token may go to a concurrent request", []result{refused(0), {sent: 1000, admitted: true}}, 0},
		{"token taken only after the response", []result{refused(0), {sent: 2 * time.Millisecond, admitted: true}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.wrong, countWrongRefusals(test.results, 1, 1))
		})
	}
}

func TestReadStream(t *testing.T) {
	event := func(text string) string {
		return `data: {"choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n"
	}
	tests := []struct {
		name, body, text, code string
		done                   bool
	}{
		{"whole", event("a") + event(" b") + "data: [DONE]\n\n", "a b", "", true},
		{"cut", event("a"), "a", "", false},
		{"error event", event("a") + `data: {"error":{"code":"308"}}` + "\n\n", "a", "308", false},
		{"comments and other fields", ": ping\nevent: x\n" + event("a") + "data: [DONE]\n", "a", "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, err := readStream(strings.NewReader(test.body), time.Now)
			require.NoError(t, err)
			assert.Equal(t, test.text, s.text.String())
			assert.Equal(t, test.code, s.errorEvent)
			assert.Equal(t, test.done, s.done)
		})
	}
}

func TestPlanReportsAllProblems(t *testing.T) {
	p := &Plan{
		Duration: time.Hour,
		Online:   []OnlineTraffic{{Model: "m", Service: "s", Rate: 1}, {Model: "m"}},
		Batch:    []BatchJob{{Model: "m"}},
		Events:   []Event{{Action: DataCentreOut}},
	}
	err := p.Prepare()
	require.Error(t, err)
	for _, fault := range []string{"no gateways", "duration", "online 0", "online 1", "batch 0", "events need controls"} {
		assert.ErrorContains(t, err, fault)
	}
}

func TestUnknownPlanFieldIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.yaml")
	require.NoError(t, os.WriteFile(path, []byte("speed: 9\n"), 0o600))
	_, err := ReadPlan(path)
	assert.ErrorContains(t, err, "speed")
}

func TestWorstShareCountsOnlyAdmissibleRequests(t *testing.T) {
	name, share := worstServed([]WorkspaceReport{{Name: "a", Admissible: 100, Correct: 100}, {Name: "b", Offered: 400, Admissible: 100, Correct: 40}})
	assert.Equal(t, "b", name)
	assert.InDelta(t, 0.4, share, 1e-9)
	results := []result{{sent: 0}, {sent: 1}, {sent: time.Second, scheduled: time.Second}}
	assert.Equal(t, 2, countAdmissible(results, 1, 1, 0))
	assert.Equal(t, 1, countAdmissible(results, 1, 1, time.Second))
}

// Guards against a run that hangs or fails without a report when no gateway can be
// reached.
func TestRunWithUnreachableGatewaysEndsAndReportsProblems(t *testing.T) {
	p := &Plan{
		Name: "unreachable", Duration: 300 * time.Millisecond, Drain: 200 * time.Millisecond,
		Gateways: []string{"http://127.0.0.1:1"},
		Online:   []OnlineTraffic{{Workspace: "a", Model: "m", Rate: 50}},
		Batch:    []BatchJob{{Workspace: "a", Model: "m", Items: 1}},
	}
	require.NoError(t, p.Prepare())
	report := NewRunner(p, "", io.Discard).Run(t.Context())
	require.Len(t, report.Variants, 1)
	v := report.Variants[0]
	assert.Positive(t, v.Offered)
	assert.Zero(t, v.Correct)
	assert.NotEmpty(t, v.Problems)
	assert.Equal(t, "no answer", v.Codes[0].Code)
	report.WriteTable(io.Discard)
	require.NoError(t, report.Plot(filepath.Join(t.TempDir(), "empty.svg")))
}
