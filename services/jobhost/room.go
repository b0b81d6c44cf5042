package jobhost

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/bytebudget"
)

const (
	// openDivisor is the part of the memory, as a divisor, that the bodies of open items may
	// take. A snapshot holds them twice more for a moment.
	openDivisor = 8
	// arrivingDivisor is the part of the memory, as a divisor, that jobs which are being
	// committed may take, and arrivingCopies how many copies of its bodies such a job has: the
	// request, the command, its log entry and the messages to the other voters.
	arrivingDivisor = 8
	arrivingCopies  = 4
	// defaultArriving applies if the memory of the process is unknown.
	defaultArriving = 64 << 20
	// roomTimeout is how long a job waits while others are being committed.
	roomTimeout = 800 * time.Millisecond
	// roomRetryAfter is the Retry-After of a job for which there was no room.
	roomRetryAfter = 1 * time.Second
)

// jobRoom bounds what jobs hold of the memory of a storage host.
type jobRoom struct {
	open     int64 // bytes of open items; 0: no bound
	arriving *bytebudget.Budget
}

func newJobRoom(memoryBytes int64, r metrics.Registry) *jobRoom {
	arriving := int64(defaultArriving)
	if memoryBytes > 0 {
		arriving = memoryBytes / arrivingDivisor
	}
	return &jobRoom{open: memoryBytes / openDivisor, arriving: bytebudget.New(arriving, "jobhost.arriving", r)}
}

// admitJob reserves room for a job until it is committed, or refuses it. A job that is held
// already is the same one again, and needs none.
func (s *Server) admitJob(ctx context.Context, spec *jobs.Spec) (*bytebudget.Reservation, error) {
	size := spec.Bytes()
	open, known := int64(0), false
	s.state.read(func(m *jobs.Machine, _ map[string]time.Time) {
		open, known = m.OpenBytes(), m.Job(spec.ID) != nil
	})
	if known {
		return nil, nil
	}
	if s.room.open > 0 && open > 0 && open+size > s.room.open {
		return nil, outcome.New(outcome.Overloaded, outcome.NotRun, "open items hold %d bytes, %d more are over the limit of %d", open, size, s.room.open).
			WithRetryAfter(roomRetryAfter)
	}
	waiting, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	held := s.room.arriving.Reserve()
	if err := held.Grow(waiting, arrivingCopies*size); err != nil {
		return nil, outcome.New(outcome.Overloaded, outcome.NotRun, "too many jobs arrive at once").WithRetryAfter(roomRetryAfter)
	}
	return held, nil
}
