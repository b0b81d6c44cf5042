package jobhost

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"banyanwalk/core/jobs"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/codec"
)

// jobsState is the replicated state of the jobs. It implements
// replica.StateMachine and may be read while commands are applied.
type jobsState struct {
	mu        sync.RWMutex
	machine   *jobs.Machine
	firstSeen map[string]time.Time // when this process first saw each job
	changed   chan struct{}        // closed and replaced after each command
	// hasAllTexts is whether this host holds the texts of all archived jobs. Log
	// entries contain the texts; snapshots do not.
	hasAllTexts atomic.Bool
	dropped     []string // ids of jobs dropped since the last takeDropped
}

func newJobsState() *jobsState {
	s := &jobsState{machine: jobs.NewMachine(), firstSeen: make(map[string]time.Time), changed: make(chan struct{})}
	s.hasAllTexts.Store(true)
	return s
}

// Apply executes one encoded jobs.Command and returns its jobs.ApplyResult.
func (s *jobsState) Apply(_ uint64, command []byte) any {
	var decoded jobs.Command
	if err := codec.Unmarshal(command, &decoded); err != nil {
		return jobs.ApplyResult{Error: outcome.New(outcome.Internal, outcome.NotRun, "decode command: %v", err)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := s.machine.Apply(decoded)
	if response.New != nil {
		s.firstSeen[response.New.ID] = time.Now()
	}
	for _, id := range decoded.Drop {
		delete(s.firstSeen, id)
	}
	s.dropped = append(s.dropped, decoded.Drop...)
	if decoded.Streams == nil {
		s.notifyChanged()
	}
	return response
}

// Snapshot encodes the state, without the texts of archived jobs.
func (s *jobsState) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return msgpack.Marshal(s.machine.Snapshot())
}

// Restore replaces the state by a snapshot, and keeps the texts that it already
// holds.
func (s *jobsState) Restore(encoded []byte) error {
	var snapshot jobs.Snapshot
	if err := codec.Unmarshal(encoded, &snapshot); err != nil {
		return errors.Wrap(err, "decode jobs snapshot")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := jobs.Restore(snapshot)
	restored.RestoreTexts(s.machine)
	s.machine = restored
	s.hasAllTexts.Store(false)
	now := time.Now()
	for _, job := range snapshot.Jobs {
		if _, known := s.firstSeen[job.ID]; !known {
			s.firstSeen[job.ID] = now
		}
	}
	s.notifyChanged()
	return nil
}

// archive drops the texts of jobs from memory, once they are on disk.
func (s *jobsState) archive(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.machine.Archive(id)
	}
}

// takeDropped returns the ids of the jobs dropped since the previous call.
func (s *jobsState) takeDropped() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := s.dropped
	s.dropped = nil
	return dropped
}

// notifyChanged wakes everyone who waits for a change. The caller holds the lock.
func (s *jobsState) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (s *jobsState) nextChange() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// read calls f with the machine and the times at which this process first saw
// each job. f must neither modify nor retain them.
func (s *jobsState) read(f func(m *jobs.Machine, firstSeen map[string]time.Time)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.machine, s.firstSeen)
}
