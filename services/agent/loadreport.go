package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/pause"
	"banyanwalk/services/agent/announce"
)

const (
	loadInterval       = 500 * time.Millisecond
	loadTimeout        = 500 * time.Millisecond
	loadPath           = "/load"
	maxLoadReportBytes = 64 << 10
)

// pollLoad periodically passes the target's load report to its admission gate.
// The reports lag behind the actual load.
func (t *target) pollLoad() {
	for t.ctx.Err() == nil {
		pause.For(t.ctx, loadInterval)
		if !t.announcement().ReportsLoad {
			continue
		}
		running, err := t.fetchLoad()
		if err != nil {
			continue // the watch connection detects a target that has exited
		}
		t.mu.Lock()
		now := t.agent.now()
		t.gate.ReportLoad(now, running)
		t.apply(nil)
		t.mu.Unlock()
	}
}

func (t *target) fetchLoad() (int, error) {
	ctx, cancel := context.WithTimeout(t.ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.pool.Address()+loadPath, nil)
	if err != nil {
		return 0, errors.Wrap(err, "load report")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "load report")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("load report: %s", response.Status)
	}
	var load announce.Load
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadReportBytes)).Decode(&load); err != nil {
		return 0, errors.Wrap(err, "load report")
	}
	return load.Running, nil
}
