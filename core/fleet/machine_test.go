package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
)

// bundleSource returns a valid bundle; each variant has another digest.
func bundleSource(version uint64, variant int) []byte {
	return fmt.Appendf(nil, "# variant %d\nversion: %d\ndata_centres: [{name: a, region: r}]\nworkspaces: []\nmodels: [{name: m, kind: model}]\nroutes: []\n"+
		"limits: {max_body_bytes: 1, max_batch_file_bytes: 1, max_batch_items: 1, max_item_attempts: 1, max_attempts: 1, retry_ratio: 0, request_timeout: 1s, open_rate: 1, open_burst: 1}\n", variant, version)
}

func roll(client, id string, version uint64, variant int) fleet.Command {
	return fleet.Command{Client: client, RequestID: id, Roll: &fleet.RollBundle{
		Version: version,
		Signed:  bundle.Signed{Source: bundleSource(version, variant), Operator: client},
	}}
}

// TestRollRacingOperators rolls bundles of two operators in any order: the
// version in force must never decrease, the first content rolled under a
// version stays, and a resend gets the first result.
func TestRollRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fleet.NewMachine()
		view := &fleet.View{}
		firstResult := make(map[string]fleet.Result) // by client and request id
		digestByRequest := make(map[string]string)
		digestByVersion := make(map[uint64]string) // of the first bundle rolled under each version
		var inForce uint64
		for index := uint64(1); index <= 60; index++ {
			client := rapid.SampledFrom([]string{"ilze", "moussa"}).Draw(t, "client")
			id := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "request"))
			version := rapid.Uint64Range(1, 5).Draw(t, "version")
			variant := rapid.IntRange(0, 2).Draw(t, "variant")
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				m = fleet.FromState(m.State())
			}
			result := m.Apply(index, roll(client, id, version, variant))
			digest := bundle.Digest(bundleSource(version, variant))
			if before, found := firstResult[client+id]; found && digestByRequest[client+id] == digest {
				require.Equal(t, before, result, "a resend gets the first result")
				continue
			} else if found {
				require.Equal(t, outcome.IdempotencyMismatch, result.Error.Code)
				continue
			}
			firstResult[client+id], digestByRequest[client+id] = result, digest
			checkRoll(t, result, version, digest, inForce, digestByVersion)
			inForce = max(inForce, version)
			current, _ := m.Current()
			require.Equal(t, inForce, current.Version, "the version never decreases")
			if rapid.Bool().Draw(t, "subscribe") {
				next, err := view.Apply(m.UpdateSince(view.Revision))
				require.NoError(t, err)
				view = next
				require.Equal(t, digestByVersion[inForce], view.Bundle().Digest())
			}
		}
	})
}

func checkRoll(t *rapid.T, result fleet.Result, version uint64, digest string, inForce uint64, digestByVersion map[uint64]string) {
	switch {
	case version < inForce:
		require.Equal(t, outcome.BundleOutdated, result.Error.Code)
	case version > inForce:
		require.Nil(t, result.Error)
		digestByVersion[version] = digest
	case digestByVersion[version] == digest:
		require.Nil(t, result.Error)
		require.Equal(t, digest, result.Digest)
	default:
		require.Equal(t, outcome.BundleConflict, result.Error.Code)
		require.Contains(t, result.Error.Message, digestByVersion[version])
	}
}

// TestSubscribersConverge applies all kinds of commands. A view built from
// deltas must equal one built from a full update, and a machine restored from a
// snapshot must stay equal to the original.
func TestSubscribersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, restored := fleet.NewMachine(), fleet.NewMachine()
		view := &fleet.View{}
		for index := uint64(1); index <= 50; index++ {
			c := drawCommand(t, index)
			require.Equal(t, m.Apply(index, c), restored.Apply(index, c))
			if rapid.IntRange(0, 7).Draw(t, "restore") == 0 {
				restored = fleet.FromState(m.State())
			}
			if rapid.IntRange(0, 3).Draw(t, "update") == 0 {
				view = apply(t, view, m)
			}
		}
		require.Equal(t, m.State(), restored.State())
		view = apply(t, view, m)
		fullView := apply(t, &fleet.View{}, m)
		require.Equal(t, fullView.Targets(), view.Targets())
		require.Equal(t, fullView.Marks(), view.Marks())
		require.Equal(t, fullView.TargetsFor("m"), view.TargetsFor("m"))
		for d := range byte(6) {
			digest := quarantine.Digest{d}
			require.Equal(t, fullView.Verdict("w", digest), view.Verdict("w", digest))
		}
	})
}

func apply(t require.TestingT, v *fleet.View, m *fleet.Machine) *fleet.View {
	next, err := v.Apply(m.UpdateSince(v.Revision))
	require.NoError(t, err)
	return next
}

func drawCommand(t *rapid.T, index uint64) fleet.Command {
	agent := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "agent")
	incarnation := rapid.Uint64Range(1, 2).Draw(t, "incarnation")
	id := fleet.TargetID(agent + "/" + rapid.SampledFrom([]string{"x", "y"}).Draw(t, "target"))
	at := int64(index) * time.Minute.Milliseconds()
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		target := fleet.Target{ID: id, Model: "m", DataCentre: "a", Leaving: rapid.Bool().Draw(t, "leaving")}
		return fleet.Command{AtMS: at, Register: &fleet.RegisterTargets{Agent: agent, Incarnation: incarnation, Targets: []fleet.Target{target}}}
	case 1:
		return fleet.Command{AtMS: at, Expire: &fleet.ExpireAgent{Agent: agent, Incarnation: incarnation}}
	case 2:
		return fleet.Command{AtMS: at, Mark: &fleet.SetMark{Target: id, Out: rapid.Bool().Draw(t, "out")}}
	case 3:
		return fleet.Command{AtMS: at, Mark: &fleet.SetMark{DataCentre: "a", Out: rapid.Bool().Draw(t, "out")}}
	default:
		crash := &fleet.ReportCrash{Target: id, Incarnation: index / 2}
		for range rapid.IntRange(1, 3).Draw(t, "requests") {
			crash.Requests = append(crash.Requests, request(rapid.Byte().Draw(t, "digest")%6))
		}
		return fleet.Command{AtMS: at, Crash: crash}
	}
}

func request(d byte) quarantine.Ref {
	return quarantine.Ref{Workspace: "w", Digest: quarantine.Digest{d}}
}

func TestQuarantine(t *testing.T) {
	const bystander, poison, other = 1, 2, 3
	crash := func(incarnation uint64, isolated bool, digests ...byte) fleet.Command {
		c := &fleet.ReportCrash{Target: "h/x", Incarnation: incarnation, Isolated: isolated}
		for _, d := range digests {
			c.Requests = append(c.Requests, request(d))
		}
		return fleet.Command{Crash: c}
	}
	cases := []struct {
		name    string
		crashes []fleet.Command
		want    map[byte]quarantine.Suspicion
	}{
		{"first crash makes suspects", []fleet.Command{crash(1, false, bystander, poison)},
			map[byte]quarantine.Suspicion{bystander: quarantine.Suspect, poison: quarantine.Suspect}},
		{"a repeated report counts once", []fleet.Command{crash(1, false, poison), crash(1, false, poison)},
			map[byte]quarantine.Suspicion{poison: quarantine.Suspect}},
		{"crash in isolation quarantines and clears co-suspects", []fleet.Command{crash(1, false, bystander, poison), crash(2, true, poison)},
			map[byte]quarantine.Suspicion{bystander: quarantine.Cleared, poison: quarantine.Quarantined}},
		{"second crash quarantines, new requests are not suspected", []fleet.Command{crash(1, false, bystander, poison), crash(2, false, other, poison)},
			map[byte]quarantine.Suspicion{bystander: quarantine.Cleared, poison: quarantine.Quarantined, other: quarantine.Cleared}},
		{"two suspects in the same two crashes stay suspects", []fleet.Command{crash(1, false, bystander, poison), crash(2, false, bystander, poison)},
			map[byte]quarantine.Suspicion{bystander: quarantine.Suspect, poison: quarantine.Suspect}},
		{"the third crash quarantines all suspects", []fleet.Command{crash(1, false, bystander, poison), crash(2, false, bystander, poison), crash(3, false, bystander, poison)},
			map[byte]quarantine.Suspicion{bystander: quarantine.Quarantined, poison: quarantine.Quarantined}},
		{"suspicion expires", []fleet.Command{crash(1, false, poison), {AtMS: time.Hour.Milliseconds(), ExpireVerdicts: &fleet.ExpireVerdicts{}}},
			map[byte]quarantine.Suspicion{poison: quarantine.Cleared}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := fleet.NewMachine()
			view := &fleet.View{}
			for i, command := range c.crashes {
				require.Nil(t, m.Apply(uint64(i+1), command).Error)
				view = apply(t, view, m)
			}
			for digest, want := range c.want {
				require.Equal(t, want, view.Verdict("w", quarantine.Digest{digest}), digest)
			}
		})
	}
}

// TestOldSubscriberGetsFullUpdate checks that a subscriber older than the
// dropped tombstones gets a full update: a delta would leave removed targets in
// its view.
func TestOldSubscriberGetsFullUpdate(t *testing.T) {
	m := fleet.NewMachine()
	register := func(index uint64, targets ...fleet.Target) {
		m.Apply(index, fleet.Command{Register: &fleet.RegisterTargets{Agent: "h", Targets: targets}})
	}
	register(1, fleet.Target{ID: "h/x", Model: "m"})
	view := apply(t, &fleet.View{}, m)
	for index := uint64(2); index < 10_000; index += 2 {
		register(index)
		register(index+1, fleet.Target{ID: "h/y", Model: "m"})
	}
	update := m.UpdateSince(view.Revision)
	require.True(t, update.Full)
	require.Len(t, apply(t, view, m).TargetsFor("m"), 1)
	require.False(t, m.UpdateSince(m.Revision()-1).Full)
}
