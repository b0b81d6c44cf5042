package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"banyanwalk/core/bundle"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/agent/announce"
	"banyanwalk/services/control"
	"banyanwalk/services/control/adminclient"
	"banyanwalk/services/engine"
	"banyanwalk/services/node"
)

const (
	demoOperatorToken  = "demo-operator-token"
	demoKeyPrefix      = "demo-key-"
	loopbackAnyPort    = "127.0.0.1:0"
	demoPrefill        = 20 * time.Millisecond
	demoTokenTime      = 10 * time.Millisecond // per token
	demoWarmCapacity   = 16                    // concurrent requests
	demoColdCapacity   = 4                     // concurrent requests
	demoWarmupRequests = 32
	restartDelay       = 500 * time.Millisecond
	readyPollInterval  = 50 * time.Millisecond
	readyTimeout       = 20 * time.Second
	rollTimeout        = 10 * time.Second
)

// fleet holds the configuration of the demo fleet.
type fleet struct {
	*options
	dir         string
	log         *telemetry.Log
	index       *bundle.Index
	source      []byte
	controlAddr string
}

// run loads the bundle, opens the log and runs the demo fleet until ctx ends.
func run(ctx context.Context, o *options, out io.Writer) error {
	source, err := os.ReadFile(o.bundle)
	if err != nil {
		return errors.Wrap(err, "-bundle")
	}
	index, err := bundle.Load(source)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", program+"-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if o.logFile == "" {
		o.logFile = filepath.Join(dir, "events.log")
	}
	file, log, err := openLog(o.logFile)
	if err != nil {
		return errors.Wrap(err, "-log-file")
	}
	defer file.Close()
	f := &fleet{options: o, dir: dir, log: log, index: index, source: source}
	return f.serve(ctx, out)
}

func (f *fleet) serve(ctx context.Context, out io.Writer) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	if err := f.startControl(p); err != nil {
		return err
	}
	if err := f.startGateway(p); err != nil {
		return err
	}
	for i, model := range f.targetModels() {
		if err := f.startTarget(p, i+1, model); err != nil {
			return err
		}
	}
	p.Go(func(ctx context.Context) error {
		if err := f.rollBundle(); err != nil {
			return err
		}
		if err := f.awaitReady(ctx); err != nil {
			return err
		}
		f.printHelp(out)
		return nil
	})
	return p.Wait()
}

// targetModels returns the model or service of each simulated target: the
// engines are spread evenly over the models, and each plain service has one
// target.
func (f *fleet) targetModels() []bundle.Model {
	var models, services []bundle.Model
	for _, m := range f.index.Document().Models {
		if m.Kind == bundle.KindModel {
			models = append(models, m)
		} else {
			services = append(services, m)
		}
	}
	var all []bundle.Model
	for i := range f.engines {
		if len(models) > 0 {
			all = append(all, models[i%len(models)])
		}
	}
	return append(all, services...)
}

func (f *fleet) startControl(p *pool.ContextPool) error {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return err
	}
	operatorListener, err := net.Listen("tcp", f.adminListen)
	if err != nil {
		return errors.Wrap(err, "-admin-listen")
	}
	f.controlAddr = listener.Addr().String()
	tokenDigest := sha256.Sum256([]byte(demoOperatorToken))
	c := &node.Control{
		Settings: control.Config{
			ID:                   1,
			Peers:                map[uint64]string{1: f.controlAddr},
			DataDir:              filepath.Join(f.dir, "control"),
			DataCentre:           f.dataCentre(0),
			Log:                  f.log.With("process", "control/1"),
			Metrics:              metrics.NewRegistry(),
			OperatorTokens:       []string{hex.EncodeToString(tokenDigest[:])},
			AllowUnsignedBundles: true,
		},
		BatchShards: 1,
		Listener:    listener,
		Operators:   operatorListener,
	}
	p.Go(c.Run)
	return nil
}

func (f *fleet) nodeCommon(name string, i int) node.Common {
	return node.Common{
		Name:         name,
		DataCentre:   f.dataCentre(i),
		ControlAddrs: []string{f.controlAddr},
		Log:          f.log.With("process", name),
		Metrics:      metrics.NewRegistry(),
	}
}

func (f *fleet) dataCentre(i int) string {
	centres := f.index.Document().DataCentres
	return centres[i%len(centres)].Name
}

func (f *fleet) startGateway(p *pool.ContextPool) error {
	listener, err := net.Listen("tcp", f.listen)
	if err != nil {
		return errors.Wrap(err, "-listen")
	}
	g := &node.Gateway{Common: f.nodeCommon("gateway-1", 0), Listener: listener}
	p.Go(g.Run)
	return nil
}

// startTarget starts an agent and its simulated target, which is restarted after
// each crash.
func (f *fleet) startTarget(p *pool.ContextPool, i int, model bundle.Model) error {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return err
	}
	announceListener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return err
	}
	a := &node.Agent{Common: f.nodeCommon(fmt.Sprintf("host-%d", i), i), Listener: listener, AnnounceListener: announceListener}
	p.Go(a.Run)
	target := engine.New(engine.Config{
		Name:           fmt.Sprintf("engine-%d", i),
		Kind:           model.Kind,
		Model:          model.Name,
		AgentURL:       "http://" + announceListener.Addr().String() + announce.Path,
		PrefillTime:    demoPrefill,
		TokenTime:      demoTokenTime,
		WarmCapacity:   demoWarmCapacity,
		ColdCapacity:   demoColdCapacity,
		WarmupRequests: demoWarmupRequests,
	}, f.log.With("process", fmt.Sprintf("engine-%d", i)))
	p.Go(func(ctx context.Context) error { return runWithRestarts(ctx, target) })
	return nil
}

// runWithRestarts runs the simulated target and restarts it on a new port after
// each crash.
func runWithRestarts(ctx context.Context, target *engine.Engine) error {
	for {
		l, err := net.Listen("tcp", loopbackAnyPort)
		if err != nil {
			return err
		}
		if err := target.Run(ctx, l); !errors.Is(err, engine.ErrCrashed) {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}

// rollBundle puts the bundle in force on the control host.
func (f *fleet) rollBundle() error {
	client := adminclient.New(adminclient.Config{
		Addrs:     []string{f.adminListen},
		Token:     demoOperatorToken,
		RequestID: program,
		Timeout:   rollTimeout,
	})
	return client.Post("/bundles", bundle.Signed{Source: f.source}, &control.CommandResponse{})
}

// awaitReady polls the gateway's /readyz until it succeeds, for at most
// readyTimeout.
func (f *fleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		response, err := http.Get("http://" + f.listen + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPollInterval)
	}
	return errors.New("the demo fleet did not become ready; see its events in " + f.logFile)
}

func (f *fleet) printHelp(out io.Writer) {
	doc := f.index.Document()
	key, model := demoKeyPrefix+doc.Workspaces[0].Name, f.targetModels()[0].Name
	fmt.Fprintf(out, `banyanwalk demo on http://%[1]s, key %[2]s, events in %[3]s

a streaming request:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' \
    -d '{"model":"%[4]s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"how deep is the water"}]}'

a batch of two items:
  printf '%%s\n' '{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"%[4]s","messages":[{"role":"user","content":"one"}]}}' \
    '{"custom_id":"b","method":"POST","url":"/v1/chat/completions","body":{"model":"%[4]s","messages":[{"role":"user","content":"two"}]}}' > /tmp/items.jsonl
  FILE=$(curl -s http://%[1]s/v1/files -H 'Authorization: Bearer %[2]s' -F purpose=batch -F file=@/tmp/items.jsonl | sed 's/.*"id":"\([^"]*\)".*/\1/')
  curl http://%[1]s/v1/batches -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' \
    -d '{"input_file_id":"'$FILE'","endpoint":"/v1/chat/completions","completion_window":"24h"}'
  curl http://%[1]s/v1/batches -H 'Authorization: Bearer %[2]s'

the operators' view:
  BANYAN_ADDR=%[5]s BANYAN_OPERATOR_TOKEN=%[6]s bin/banyanctl status

Ctrl-C stops the fleet.
`, f.listen, key, f.logFile, model, f.adminListen, demoOperatorToken)
}
