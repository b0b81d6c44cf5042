package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/admission"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/services/agent/announce"
)

const (
	announceInterval     = 500 * time.Millisecond
	defaultAnnounceTTL   = 5 * time.Second
	maxAnnouncementBytes = 16 << 10
	announceDrainTimeout = time.Second
	maxTargets           = 64 // behind one agent
)

// serveAnnouncements accepts the announcements of this host's targets.
func (a *Agent) serveAnnouncements(ctx context.Context, l net.Listener) error {
	app := fiber.New(fiber.Config{AppName: "banyan-agent", BodyLimit: maxAnnouncementBytes})
	app.Post(announce.Path, func(c fiber.Ctx) error {
		var info announce.Announcement
		if err := json.Unmarshal(c.Body(), &info); err != nil {
			return httpapi.WriteError(c, outcome.New(outcome.BadRequest, outcome.NotRun, "announcement: %v", err), "")
		}
		if err := info.Check(); err != nil {
			return httpapi.WriteError(c, outcome.New(outcome.BadRequest, outcome.NotRun, "announcement: %v", err), "")
		}
		if err := a.accept(info); err != nil {
			return httpapi.WriteError(c, err, "")
		}
		return c.Status(http.StatusOK).JSON(announce.Response{IntervalMS: announceInterval.Milliseconds()})
	})
	return httpapi.Serve(ctx, app, l, announceDrainTimeout)
}

// accept takes an announcement in.
func (a *Agent) accept(info announce.Announcement) error {
	id := fleet.TargetID(a.cfg.Name + "/" + info.Name)
	a.mu.Lock()
	t, found := a.targets[id]
	if !found && len(a.targets) >= maxTargets {
		a.mu.Unlock()
		return outcome.New(outcome.Overloaded, outcome.NotRun, "more than %d targets on one host", maxTargets)
	}
	if !found {
		if info.Leaving {
			a.mu.Unlock()
			return nil
		}
		t = newTarget(a, id, info)
		a.targets[id] = t
	}
	a.mu.Unlock()
	if !found {
		a.cfg.Log.Info("target_announced", "target", id, "model", info.Model, "target_incarnation", info.Incarnation)
		a.work.Go(func() { t.watch() })
		a.work.Go(func() { t.pollLoad() })
		if a.draining.Load() {
			t.close(outcome.TargetLeaving)
		}
		notify(a.beat)
		return nil
	}
	t.announce(info)
	return nil
}

// announce merges a repeated announcement.
func (t *target) announce(info announce.Announcement) {
	t.mu.Lock()
	old := t.info
	replaced := old.Incarnation != info.Incarnation
	t.mu.Unlock()
	if replaced && !old.Leaving {
		t.noteCrash(old.Incarnation, "new incarnation")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.agent.now()
	t.info = info
	t.lastSeen = now
	wasDown := t.down
	t.down = false
	if info.Address != old.Address || replaced {
		t.pool.Reset(info.Address, info.WarmCapacity)
	}
	if info.Address != old.Address || info.Leaving {
		t.unwatch()
		t.pool.CloseIdle()
	}
	if !replaced {
		t.crash = nil // its process lives: what was seen was not a crash
	}
	t.admitAgain(now, info, replaced)
	if replaced || wasDown || info != old {
		t.agent.cfg.Log.Info("target_changed", "target", t.id, "target_incarnation", info.Incarnation, "leaving", info.Leaving)
		notify(t.agent.beat)
	}
}

// admitAgain brings the gate in line with an announcement. Without a watch a
// restart would go unseen, and the announcement itself may be a late one of a
// process that is gone, so the target is held to its cold capacity until the
// next announcement after there is a watch. The caller holds the mutex.
func (t *target) admitAgain(now admission.Time, info announce.Announcement, replaced bool) {
	if info.Leaving || t.agent.draining.Load() {
		t.apply(t.gate.Close(outcome.TargetLeaving))
		return
	}
	t.gate.Reopen()
	if replaced {
		t.turn++
		t.apply(t.gate.ResetToCold(now, capacity(&info)))
	}
	if t.lost == nil {
		t.apply(t.gate.LimitToCold(now))
		return
	}
	if !replaced {
		t.apply(t.gate.ConfirmIncarnation(now, capacity(&info)))
	}
}

// sweep drops targets that fell silent.
func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range a.snapshot() {
			if t.silentFor() > a.cfg.AnnounceTTL && !t.finishing() {
				a.dropTarget(t, "silent")
			}
		}
	}
}

func (t *target) silentFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.agent.now() - t.lastSeen
}

// finishing reports whether the target leaves and still has requests. Such a
// target need not announce itself any more.
func (t *target) finishing() bool { return t.announced().Leaving && t.runningRequests() > 0 }

// dropTarget forgets a target. What still runs on it fails at once.
func (a *Agent) dropTarget(t *target, reason string) {
	a.mu.Lock()
	if a.targets[t.id] == t {
		delete(a.targets, t.id)
	}
	a.mu.Unlock()
	a.cfg.Log.Warn("target_dropped", "target", t.id, "reason", reason)
	t.close(outcome.TargetFailed)
	t.drop(errDropped)
	t.pool.Reset("", 0)
	notify(a.beat)
}
