package work

import (
	"context"
	"time"

	"banyanwalk/core/batch"
)

const (
	reclaimInterval = 10 * time.Minute
	// reclaimAge keeps records that a running upload may still name.
	reclaimAge     = 1 * time.Hour
	reclaimTimeout = 10 * time.Second
	// forgetInterval is how often missing records are held against the state. A
	// log that is replayed names records that are no longer in use.
	forgetInterval = 10 * time.Second
)

// reclaim frees the payloads that no group names any more.
func (s *Service) reclaim(ctx context.Context) error {
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-forget.C:
			s.forgetUnused(ctx)
		case now := <-ticker.C:
			if err := s.reclaimOnce(ctx, now.Add(-reclaimAge)); err != nil {
				s.log.Warn("payload_reclaim_failed", "error", err)
			}
		}
	}
}

// reclaimOnce frees records last put before the given time. A host that lags
// behind its groups frees nothing: entries it has not seen may name them.
func (s *Service) reclaimOnce(ctx context.Context, before time.Time) error {
	mark := s.repairer.Mark()
	inUse, err := s.inUse(ctx)
	if err != nil {
		return err
	}
	s.repairer.Forget(inUse, mark)
	freed, err := s.store.Reclaim(inUse, before)
	if freed > 0 {
		s.log.Info("payload_reclaimed", "bytes", freed)
	}
	return err
}

// forgetUnused drops missing records that no group names.
func (s *Service) forgetUnused(ctx context.Context) {
	if s.repairer.Missing() == 0 {
		return
	}
	mark := s.repairer.Mark()
	if inUse, err := s.inUse(ctx); err == nil {
		s.repairer.Forget(inUse, mark)
	}
}

// inUse returns the records that the groups name, once this host has applied
// all that was acknowledged before the call.
func (s *Service) inUse(ctx context.Context) (map[batch.Digest]struct{}, error) {
	inUse := make(map[batch.Digest]struct{})
	use := func(ref batch.Ref) { inUse[ref.Digest] = struct{}{} }
	for _, g := range s.groups {
		confirmed, cancel := context.WithTimeout(ctx, reclaimTimeout)
		err := g.confirm(confirmed)
		cancel()
		if err != nil {
			return nil, err
		}
		g.mu.RLock()
		g.batch.ReferencedRecords(use)
		g.keys.Responses(use)
		g.mu.RUnlock()
	}
	return inUse, nil
}
