package roster

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxSlots bounds the slots of a target. Sums over all targets must not overflow.
	maxSlots = 1 << 16
	// maxColdFor bounds the remaining cold time.
	maxColdFor = time.Hour
	// latestIncarnation is the start of the year 3000, in Unix milliseconds. A later one
	// would outrank all reports of the target's sound processes.
	latestIncarnation = 32_503_680_000_000
)

// Validate returns why no sound target can have written a report, or nil. The address may
// be missing, as in reports that a target has shut down.
func (r *Report) Validate() error {
	switch {
	case r.ID == "":
		return errors.New("report without id")
	case r.Slots < 0 || r.Slots > maxSlots:
		return errors.Newf("%d slots", r.Slots)
	case r.ColdFor < 0 || r.ColdFor > maxColdFor:
		return errors.Newf("cold for %s", r.ColdFor)
	case r.Incarnation < 0 || r.Incarnation > latestIncarnation:
		return errors.Newf("process started at %d ms", r.Incarnation)
	case r.Addr == "":
		return nil
	}
	addr, err := netip.ParseAddrPort(r.Addr)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if addr.Port() == 0 {
		return errors.Newf("address %s without port", r.Addr)
	}
	return nil
}
