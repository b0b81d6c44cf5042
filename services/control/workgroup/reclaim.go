package workgroup

import (
	"context"
	"time"

	"banyanwalk/core/batch"
)

const (
	reclaimInterval = 10 * time.Minute
	// minReclaimAge protects new records: an upload in progress may still reference them.
	minReclaimAge    = 1 * time.Hour
	readIndexTimeout = 10 * time.Second // of one group
	// pruneMissingInterval is the interval at which missing records that are no longer in use
	// are dropped. Log entries replayed at startup may reference such records.
	pruneMissingInterval = 10 * time.Second
)

// runReclaim periodically frees the payload records that no group references.
func (s *Service) runReclaim(ctx context.Context) error {
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	pruneTicker := time.NewTicker(pruneMissingInterval)
	defer pruneTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-pruneTicker.C:
			s.pruneMissing(ctx)
		case now := <-ticker.C:
			if err := s.reclaimOnce(ctx, now.Add(-minReclaimAge)); err != nil {
				s.log.Warn("payload_reclaim_failed", "error", err)
			}
		}
	}
}

// reclaimOnce frees unused records that were last put before the given time. A host that
// cannot catch up with its groups frees nothing: log entries that it has not applied may
// reference the records.
func (s *Service) reclaimOnce(ctx context.Context, before time.Time) error {
	seq := s.repairer.Sequence()
	inUse, err := s.recordsInUse(ctx)
	if err != nil {
		return err
	}
	s.repairer.DropUnused(inUse, seq)
	freed, err := s.store.Reclaim(inUse, before)
	if freed > 0 {
		s.log.Info("payload_reclaimed", "bytes", freed)
	}
	return err
}

// pruneMissing drops missing records that no group references from the repairer.
func (s *Service) pruneMissing(ctx context.Context) {
	if s.repairer.Missing() == 0 {
		return
	}
	seq := s.repairer.Sequence()
	if inUse, err := s.recordsInUse(ctx); err == nil {
		s.repairer.DropUnused(inUse, seq)
	}
}

// recordsInUse returns the records that the groups reference. Each group is read after
// this host has applied everything that was acknowledged before the call.
func (s *Service) recordsInUse(ctx context.Context) (map[batch.Digest]struct{}, error) {
	inUse := make(map[batch.Digest]struct{})
	add := func(ref batch.Ref) { inUse[ref.Digest] = struct{}{} }
	for _, g := range s.groups {
		readCtx, cancel := context.WithTimeout(ctx, readIndexTimeout)
		err := g.waitReadIndex(readCtx)
		cancel()
		if err != nil {
			return nil, err
		}
		g.mu.RLock()
		g.batch.ReferencedRecords(add)
		g.keys.Responses(add)
		g.mu.RUnlock()
	}
	return inUse, nil
}
