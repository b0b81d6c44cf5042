package jobhost

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
)

// jobsState binds the jobs to their replica, with readers beside the goroutine
// that applies. It implements replica.StateMachine.
type jobsState struct {
	mu      sync.RWMutex
	machine *jobs.Machine
	seen    map[string]time.Time // when this process first saw each job
	changed chan struct{}        // closed and replaced after each command
	// complete tells that this host holds the texts of all archived jobs. What it
	// applies from the log comes with its texts; a snapshot does not.
	complete atomic.Bool
	dropped  []string // jobs that were dropped since takeDropped
}

func newJobsState() *jobsState {
	s := &jobsState{machine: jobs.NewMachine(), seen: make(map[string]time.Time), changed: make(chan struct{})}
	s.complete.Store(true)
	return s
}

// Apply executes one encoded jobs.Command and returns its jobs.Answer.
func (s *jobsState) Apply(_ uint64, command []byte) any {
	var decoded jobs.Command
	if err := msgpack.Unmarshal(command, &decoded); err != nil {
		return jobs.Answer{Error: outcome.New(outcome.Internal, outcome.NotRun, "decode command: %v", err)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.machine.Apply(decoded)
	if answer.New != nil {
		s.seen[answer.New.ID] = time.Now()
	}
	for _, id := range decoded.Drop {
		delete(s.seen, id)
	}
	s.dropped = append(s.dropped, decoded.Drop...)
	s.wake()
	return answer
}

// Snapshot encodes the whole state.
func (s *jobsState) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return msgpack.Marshal(s.machine.Snapshot())
}

// Restore replaces the whole state.
func (s *jobsState) Restore(encoded []byte) error {
	var snapshot jobs.Snapshot
	if err := msgpack.Unmarshal(encoded, &snapshot); err != nil {
		return errors.Wrap(err, "decode jobs snapshot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := jobs.Restore(snapshot)
	restored.RestoreTexts(s.machine)
	s.machine = restored
	s.complete.Store(false)
	now := time.Now()
	for _, job := range snapshot.Jobs {
		if _, known := s.seen[job.ID]; !known {
			s.seen[job.ID] = now
		}
	}
	s.wake()
	return nil
}

// archive drops the texts of jobs that are kept on disk.
func (s *jobsState) archive(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.machine.Archive(id)
	}
}

// takeDropped returns the jobs that were dropped since the call before.
func (s *jobsState) takeDropped() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := s.dropped
	s.dropped = nil
	return dropped
}

// wake lets all look that wait for a change. The caller holds the lock.
func (s *jobsState) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// next returns a channel that is closed at the next change.
func (s *jobsState) next() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// read calls f with the machine and the times at which this process first saw
// each job. f must not change or keep them.
func (s *jobsState) read(f func(m *jobs.Machine, seen map[string]time.Time)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.machine, s.seen)
}
