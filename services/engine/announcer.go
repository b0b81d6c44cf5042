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

// announcer makes an engine known to its agent.
type announcer struct {
	url      string
	message  announce.Announcement
	interval time.Duration
	client   *http.Client
	thaw     func(context.Context) // blocks while the engine is frozen
	log      *telemetry.Log
}

func newAnnouncer(e *Engine, incarnation uint64, listenAddr string) *announcer {
	cfg := e.cfg
	address := cfg.Address
	if address == "" {
		address = listenAddr
	}
	return &announcer{
		url:      cfg.Agent,
		interval: cfg.AnnounceInterval,
		client:   &http.Client{Timeout: announceTimeout},
		thaw:     e.faults.thaw,
		log:      e.log,
		message: announce.Announcement{
			Name:            cfg.Name,
			Kind:            cfg.Kind,
			Model:           cfg.Model,
			Incarnation:     incarnation,
			Address:         address,
			WarmCapacity:    cfg.Warm,
			ColdCapacity:    cfg.Cold,
			WarmupRequests:  cfg.WarmupRequests,
			EchoesRequestID: true,
			ReportsLoad:     true,
			TakesOrders:     true,
		},
	}
}

// run announces until the engine crashes or begins to leave.
func (a *announcer) run(life, serving context.Context) {
	if a.url == "" {
		return
	}
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	stop := context.AfterFunc(serving, cancel)
	defer stop()
	for ctx.Err() == nil {
		a.thaw(ctx)
		interval, err := a.post(ctx, a.message)
		if err != nil && ctx.Err() == nil {
			a.log.Debug("announce_failed", "error", err)
		}
		pause.For(ctx, interval)
	}
}

// leave announces the departure and reports whether the agent took it.
func (a *announcer) leave(ctx context.Context) bool {
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

// post sends one announcement and returns when to send the next.
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
