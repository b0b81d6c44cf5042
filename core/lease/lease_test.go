package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"banyanwalk/core/lease"
)

func TestLeaseExpiryAndRenewal(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	a, b := lease.Holder{Agent: "a", Incarnation: 1}, lease.Holder{Agent: "b", Incarnation: 1}
	table := lease.NewTable(3 * time.Second)
	table.Reset([]lease.Holder{b, a}, start)
	require.Empty(t, table.Expired(at(2999*time.Millisecond)))
	table.Renew(b, at(2*time.Second))
	require.Equal(t, []lease.Holder{a}, table.Expired(at(3*time.Second)))

	restarted := lease.Holder{Agent: "a", Incarnation: 2}
	table.Renew(restarted, at(3*time.Second))
	table.DropExpired(a, at(3*time.Second))
	require.Equal(t, 3*time.Second, table.Remaining("a", at(3*time.Second)), "dropping the old incarnation keeps the renewed lease")
	table.DropExpired(restarted, at(6*time.Second))
	require.Zero(t, table.Remaining("a", at(6*time.Second)))
	require.Equal(t, []lease.Holder{b}, table.Expired(at(6*time.Second)))

	table.Reset(nil, at(6*time.Second))
	require.Empty(t, table.Expired(at(time.Hour)), "after a reset, only the given holders can expire")
}
