// Package eviction decides which connections of a server give way when it has too many. It
// answers crowds of callers that hold connections and hardly move: heads and bodies that
// arrive byte by byte, idle connections, responses that are not read. Callers that have
// shown progress keep their connections, and a new caller gets one.
//
// It does no I/O and reads no clock.
package eviction

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection is used for.
type Phase uint8

// Phases of a connection, in the order in which a request passes through them.
const (
	Idle    Phase = iota // no request has begun, or none since the last one
	Head                 // the head of a request arrives
	Body                 // its head is complete and allowed, and its body arrives
	Handled              // it is complete; it may have been passed on, and its response be under way
)

const (
	// freshFor is how long an idle connection or an arriving head counts as fresh. Callers
	// send a head in one piece.
	freshFor = 1 * time.Second
	// minRateAge is how long a body counts as fresh, until its rate can be told.
	minRateAge = 250 * time.Millisecond
	// MinRate is the rate, in bytes per second, below which a body that arrives, or a
	// response that is read, counts as standing still.
	MinRate = 1024
)

// Connection is what is known of one connection.
type Connection struct {
	Phase Phase
	Since time.Time // start of the phase
	Bytes int64     // of the body since then
	// Stalled: its caller does not read the response.
	Stalled bool
	// Holder is who holds the connection: its workspace if it is known, else its source address.
	Holder string
}

// rank orders connections by what they have shown; lower ones give way first.
type rank uint8

const (
	slowHead rank = iota
	longIdle
	slowBody
	stalledReader
	fresh
	kept // never gives way
)

func (c *Connection) rank(now time.Time) rank {
	age := now.Sub(c.Since)
	switch {
	case c.Phase == Head && age > freshFor:
		return slowHead
	case c.Phase == Idle && age > freshFor:
		return longIdle
	case c.Phase == Head || c.Phase == Idle || c.Phase == Body && age <= minRateAge:
		return fresh
	case c.Phase == Body && float64(c.Bytes) < MinRate*age.Seconds():
		return slowBody
	case c.Phase == Handled && c.Stalled:
		return stalledReader
	default:
		return kept
	}
}

// candidate is a connection that may give way.
type candidate struct {
	index int
	rank  rank
	held  int // connections of this rank that its holder has
	since time.Time
}

// Choose returns the indexes of the connections that give way, those that give way first
// first: count of them, or all that may, if there are fewer. Of spare, which may be zero,
// up to as many more are returned if they are not fresh, so that a crowd is not sorted
// again for each newcomer.
//
// Within one rank, holders of many connections go before holders of few, and then older
// connections before younger ones. Fresh ones go by age alone: callers that behave are
// done with theirs sooner than a crowd that comes again and again, and may share an address.
func Choose(conns []Connection, count, spare int, now time.Time) []int {
	type share struct {
		rank   rank
		holder string
	}
	held := make(map[share]int)
	candidates := make([]candidate, 0, len(conns))
	for i := range conns {
		r := conns[i].rank(now)
		if r == kept {
			continue
		}
		if r != fresh {
			held[share{r, conns[i].Holder}]++
		}
		candidates = append(candidates, candidate{index: i, rank: r, since: conns[i].Since})
	}
	for i := range candidates {
		candidates[i].held = held[share{candidates[i].rank, conns[candidates[i].index].Holder}]
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.held, a.held), a.since.Compare(b.since))
	})
	var chosen []int
	for _, c := range candidates {
		if len(chosen) >= count+spare || len(chosen) >= count && c.rank == fresh {
			break
		}
		chosen = append(chosen, c.index)
	}
	return chosen
}
