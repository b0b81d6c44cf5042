package director

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/placement"
	"banyanwalk/infra/rpc"
)

// sumOfOthers adds up all members but one, which sumPeerLoads must equal.
func sumOfOthers(reports map[string]rpc.MemberLoad, first map[string]map[string]uint64, except string) (spent map[string]uint64, loads map[string]placement.Load) {
	spent, loads = make(map[string]uint64), make(map[string]placement.Load)
	for name, report := range reports {
		if name == except {
			continue
		}
		for workspace, tokens := range report.Spent {
			spent[workspace] += max(tokens, first[name][workspace]) - first[name][workspace]
		}
		for id, at := range report.Loads {
			total := loads[id]
			total.Online += at.Online
			total.Batch += at.Batch
			total.Tokens += at.Tokens
			total.BatchTokens += at.BatchTokens
			loads[id] = total
		}
	}
	return spent, loads
}

func TestSumsEqualThoseOfAllOtherMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegistry()
		now := time.Unix(1000, 0)
		reports, first := make(map[string]rpc.MemberLoad), make(map[string]map[string]uint64)
		for range 40 {
			number := rapid.IntRange(0, 5).Draw(t, "member")
			name := fmt.Sprint("g", number)
			load := rpc.MemberLoad{Member: rpc.Member{Name: name, Role: rpc.RoleGateway, Incarnation: uint64(number + 1)},
				Spent: make(map[string]uint64), Loads: make(map[string]placement.Load)}
			previous, known := reports[name]
			changes := make(map[string]uint64)
			for w := range 4 {
				workspace := fmt.Sprint("w", w)
				load.Spent[workspace] = previous.Spent[workspace]
				if !known || rapid.Bool().Draw(t, "spends") {
					load.Spent[workspace] += uint64(rapid.IntRange(0, 9).Draw(t, "tokens"))
					changes[workspace] = load.Spent[workspace]
				}
			}
			if online := rapid.IntRange(0, 3).Draw(t, "online"); online > 0 {
				load.Loads[fmt.Sprint("t", online)] = placement.Load{Online: online, Tokens: int64(100 * online), BatchTokens: int64(online)}
			}
			if !known {
				first[name] = load.Spent
			}
			reports[name] = load
			sent := load
			if known && rapid.Bool().Draw(t, "changes only") {
				sent.ChangesOnly, sent.Spent = true, changes
			}
			r.reportMember(now, sent)
			now = now.Add(sumsInterval)
			except := fmt.Sprint("g", rapid.IntRange(0, 6).Draw(t, "asking"))
			sum := r.sumPeerLoads(now, except)
			spent, loads := sumOfOthers(reports, first, except)
			for workspace, tokens := range spent {
				require.Equal(t, tokens, sum.Spent[workspace], workspace)
			}
			require.Equal(t, loads, sum.Loads)
		}
	})
}

// BenchmarkSums is one push of sums to a follower among as many processes, targets
// and workspaces as a large site has.
func BenchmarkSums(b *testing.B) {
	r := newRegistry()
	now := time.Unix(1000, 0)
	for member := range 150 {
		load := rpc.MemberLoad{Member: rpc.Member{Name: fmt.Sprint("g", member), Role: rpc.RoleGateway, Incarnation: uint64(member + 1)},
			Spent: make(map[string]uint64), Loads: make(map[string]placement.Load)}
		for w := range 250 {
			load.Spent[fmt.Sprint("w", w)] = 0
		}
		r.reportMember(now, load)
		for w := range 250 {
			load.Spent[fmt.Sprint("w", w)] = uint64(member)
		}
		for target := range 600 {
			load.Loads[fmt.Sprint("t", (target+member)%600)] = placement.Load{Online: 1}
			if len(load.Loads) == 20 {
				break
			}
		}
		r.reportMember(now, load)
	}
	b.ReportAllocs()
	for i := range b.N {
		if i%10 == 0 {
			now = now.Add(sumsInterval)
			for _, m := range r.members {
				m.reportedAt = now
			}
		}
		r.sumPeerLoads(now, fmt.Sprint("g", i%150))
	}
}
