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
	loadInterval  = 500 * time.Millisecond
	loadTimeout   = 500 * time.Millisecond
	loadPath      = "/load"
	maxLoadReport = 64 << 10
)

// pollLoad feeds the target's lagging load reports to its gate.
func (t *target) pollLoad() {
	for t.life.Err() == nil {
		pause.For(t.life, loadInterval)
		if !t.announced().ReportsLoad {
			continue
		}
		running, err := t.fetchLoad()
		if err != nil {
			continue // the watch connection tells whether the target is gone
		}
		t.mu.Lock()
		now := t.agent.now()
		t.gate.ReportLoad(now, running)
		t.apply(nil)
		t.mu.Unlock()
	}
}

func (t *target) fetchLoad() (int, error) {
	ctx, cancel := context.WithTimeout(t.life, loadTimeout)
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadReport)).Decode(&load); err != nil {
		return 0, errors.Wrap(err, "load report")
	}
	return load.Running, nil
}
