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
	maxTargets           = 64 // per agent
)

// serveAnnouncements runs the HTTP server to which this host's targets announce
// themselves.
func (a *Agent) serveAnnouncements(ctx context.Context, l net.Listener) error {
	app := fiber.New(fiber.Config{AppName: "banyan-agent", BodyLimit: maxAnnouncementBytes})
	app.Post(announce.Path, func(c fiber.Ctx) error {
		var info announce.Announcement
		if err := json.Unmarshal(c.Body(), &info); err != nil {
			return httpapi.WriteError(c, outcome.New(outcome.BadRequest, outcome.NotRun, "announcement: %v", err), "")
		}
		if err := info.Validate(); err != nil {
			return httpapi.WriteError(c, outcome.New(outcome.BadRequest, outcome.NotRun, "announcement: %v", err), "")
		}
		if err := a.handleAnnouncement(info); err != nil {
			return httpapi.WriteError(c, err, "")
		}
		return c.Status(http.StatusOK).JSON(announce.Response{IntervalMS: announceInterval.Milliseconds()})
	})
	return httpapi.Serve(ctx, app, l, announceDrainTimeout)
}

// handleAnnouncement registers a new target or updates a known one.
func (a *Agent) handleAnnouncement(info announce.Announcement) error {
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
		a.background.Go(func() { t.watch() })
		a.background.Go(func() { t.pollLoad() })
		if a.draining.Load() {
			t.close(outcome.TargetLeaving)
		}
		notify(a.heartbeatDue)
		return nil
	}
	t.updateAnnouncement(info)
	return nil
}

// updateAnnouncement applies a further announcement of a known target. A changed
// incarnation means that the process has restarted.
func (t *target) updateAnnouncement(info announce.Announcement) {
	t.mu.Lock()
	old := t.info
	replaced := old.Incarnation != info.Incarnation
	t.mu.Unlock()
	if replaced && !old.Leaving {
		t.recordCrash(old.Incarnation, "new incarnation")
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
		t.closeWatch()
		t.pool.CloseIdle()
	}
	if !replaced {
		t.crash = nil // the same process is still running, so it did not crash
	}
	t.syncGate(now, info, replaced)
	if replaced || wasDown || info != old {
		t.agent.cfg.Log.Info("target_changed", "target", t.id, "target_incarnation", info.Incarnation, "leaving", info.Leaving)
		notify(t.agent.heartbeatDue)
	}
}

// syncGate updates the admission gate after an announcement. While there is no
// watch connection, a restart would go undetected, and the announcement may be a
// delayed one of a process that has already exited. The target is therefore
// limited to its cold capacity until it announces itself while a watch
// connection is open. The caller holds the mutex.
func (t *target) syncGate(now admission.Time, info announce.Announcement, replaced bool) {
	if info.Leaving || t.agent.draining.Load() {
		t.apply(t.gate.Close(outcome.TargetLeaving))
		return
	}
	t.gate.Reopen()
	if replaced {
		t.epoch++
		t.apply(t.gate.ResetToCold(now, capacity(&info)))
	}
	if t.watchBroken == nil {
		t.apply(t.gate.LimitToCold(now))
		return
	}
	if !replaced {
		t.apply(t.gate.ConfirmIncarnation(now, capacity(&info)))
	}
}

// dropSilentTargets periodically drops the targets that have sent no
// announcement for AnnounceTTL.
func (a *Agent) dropSilentTargets(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range a.snapshot() {
			if t.silentFor() > a.cfg.AnnounceTTL && !t.draining() {
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

// draining reports whether the target is leaving and still has in-flight
// requests. Such a target is kept even if it sends no more announcements.
func (t *target) draining() bool { return t.announcement().Leaving && t.runningRequests() > 0 }

// dropTarget removes a target and fails its in-flight requests at once.
func (a *Agent) dropTarget(t *target, reason string) {
	a.mu.Lock()
	if a.targets[t.id] == t {
		delete(a.targets, t.id)
	}
	a.mu.Unlock()
	a.cfg.Log.Warn("target_dropped", "target", t.id, "reason", reason)
	t.close(outcome.TargetFailed)
	t.cancel(errDropped)
	t.pool.Reset("", 0)
	notify(a.heartbeatDue)
}
