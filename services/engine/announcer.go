package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/pause"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/agent/announce"
)

const (
	announceTimeout     = 1 * time.Second
	minAnnounceInterval = 50 * time.Millisecond
)

// announcer registers an engine with its agent and repeats the announcement at
// the interval that the agent asks for.
type announcer struct {
	url             string
	message         announce.Announcement
	interval        time.Duration
	client          *http.Client
	waitWhileFrozen func(context.Context) // blocks while a freeze fault is active
	log             *telemetry.Log
}

func newAnnouncer(e *Engine, incarnation uint64, listenAddr string) *announcer {
	cfg := e.cfg
	address := cfg.AdvertiseAddress
	if address == "" {
		address = listenAddr
	}
	return &announcer{
		url:             cfg.AgentURL,
		interval:        cfg.AnnounceInterval,
		client:          &http.Client{Timeout: announceTimeout},
		waitWhileFrozen: e.faults.waitWhileFrozen,
		log:             e.log,
		message: announce.Announcement{
			Name:            cfg.Name,
			Kind:            cfg.Kind,
			Model:           cfg.Model,
			Incarnation:     incarnation,
			Address:         address,
			WarmCapacity:    cfg.WarmCapacity,
			ColdCapacity:    cfg.ColdCapacity,
			WarmupRequests:  cfg.WarmupRequests,
			EchoesRequestID: true,
			ReportsLoad:     true,
			TakesOrders:     true,
		},
	}
}

// run sends announcements until the engine crashes (processCtx ends) or begins
// its shutdown (servingCtx ends).
func (a *announcer) run(processCtx, servingCtx context.Context) {
	if a.url == "" {
		return
	}
	ctx, cancel := context.WithCancel(processCtx)
	defer cancel()
	stop := context.AfterFunc(servingCtx, cancel)
	defer stop()
	for ctx.Err() == nil {
		a.waitWhileFrozen(ctx)
		interval, err := a.post(ctx, a.message)
		if err != nil && ctx.Err() == nil {
			a.log.Debug("announce_failed", "error", err)
		}
		pause.For(ctx, interval)
	}
}

// announceLeaving tells the agent that the engine is shutting down and reports
// whether the agent acknowledged it.
func (a *announcer) announceLeaving(ctx context.Context) bool {
	if a.url == "" {
		return false
	}
	message := a.message
	message.Leaving = true
	_, err := a.post(ctx, message)
	if err != nil {
		a.log.Warn("announce_leaving_failed", "error", err)
	}
	return err == nil
}

// post sends one announcement and returns the interval until the next one.
func (a *announcer) post(ctx context.Context, message announce.Announcement) (time.Duration, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return a.interval, errors.Wrap(err, "encode announcement")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.url, bytes.NewReader(body))
	if err != nil {
		return a.interval, errors.Wrap(err, "announcement")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return a.interval, errors.Wrap(err, "announce")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return a.interval, errors.Newf("agent answered %s", response.Status)
	}
	var ack announce.Response
	if err := json.NewDecoder(response.Body).Decode(&ack); err != nil {
		return a.interval, errors.Wrap(err, "decode acknowledgement")
	}
	return max(minAnnounceInterval, time.Duration(ack.IntervalMS)*time.Millisecond), nil
}
