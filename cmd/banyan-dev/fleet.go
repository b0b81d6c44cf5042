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
	demoToken    = "demo-operator-token"
	demoKey      = "demo-key-"
	loopback     = "127.0.0.1:0"
	demoPrefill  = 20 * time.Millisecond
	demoTokenGap = 10 * time.Millisecond // per token
	demoWarm     = 16                    // concurrent requests
	demoCold     = 4
	demoWarmup   = 32 // requests
	restartPause = 500 * time.Millisecond
	readyPause   = 50 * time.Millisecond
	readyTimeout = 20 * time.Second
	rollTimeout  = 10 * time.Second
)

// fleet is the demo fleet.
type fleet struct {
	*options
	dir         string
	log         *telemetry.Log
	index       *bundle.Index
	source      []byte
	controlAddr string
}

// run serves until ctx ends.
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
	for i, model := range f.targets() {
		if err := f.startTarget(p, i+1, model); err != nil {
			return err
		}
	}
	p.Go(func(ctx context.Context) error {
		if err := f.roll(); err != nil {
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

// targets returns the model of each stand-in: several engines, one of each
// plain service.
func (f *fleet) targets() []bundle.Model {
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
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", f.adminListen)
	if err != nil {
		return errors.Wrap(err, "-admin-listen")
	}
	f.controlAddr = listener.Addr().String()
	token := sha256.Sum256([]byte(demoToken))
	c := &node.Control{
		Settings: control.Config{
			ID:                   1,
			Peers:                map[uint64]string{1: f.controlAddr},
			DataDir:              filepath.Join(f.dir, "control"),
			DataCentre:           f.dataCentre(0),
			Log:                  f.log.With("process", "control/1"),
			Metrics:              metrics.NewRegistry(),
			OperatorTokens:       []string{hex.EncodeToString(token[:])},
			AllowUnsignedBundles: true,
		},
		BatchShards: 1,
		Listener:    listener,
		Operators:   operators,
	}
	p.Go(c.Run)
	return nil
}

func (f *fleet) common(name string, i int) node.Common {
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
	g := &node.Gateway{Common: f.common("gateway-1", 0), Listener: listener}
	p.Go(g.Run)
	return nil
}

// startTarget starts an agent and its stand-in, which is started again after
// each crash.
func (f *fleet) startTarget(p *pool.ContextPool, i int, model bundle.Model) error {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	announces, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	a := &node.Agent{Common: f.common(fmt.Sprintf("host-%d", i), i), Listener: listener, AnnounceListener: announces}
	p.Go(a.Run)
	stand := engine.New(engine.Config{
		Name:           fmt.Sprintf("engine-%d", i),
		Kind:           model.Kind,
		Model:          model.Name,
		AgentURL:       "http://" + announces.Addr().String() + announce.Path,
		PrefillTime:    demoPrefill,
		TokenTime:      demoTokenGap,
		WarmCapacity:   demoWarm,
		ColdCapacity:   demoCold,
		WarmupRequests: demoWarmup,
	}, f.log.With("process", fmt.Sprintf("engine-%d", i)))
	p.Go(func(ctx context.Context) error { return keepRunning(ctx, stand) })
	return nil
}

func keepRunning(ctx context.Context, stand *engine.Engine) error {
	for {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return err
		}
		if err := stand.Run(ctx, l); !errors.Is(err, engine.ErrCrashed) {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartPause):
		}
	}
}

func (f *fleet) roll() error {
	client := adminclient.New(adminclient.Config{
		Addrs:     []string{f.adminListen},
		Token:     demoToken,
		RequestID: program,
		Timeout:   rollTimeout,
	})
	return client.Post("/bundles", bundle.Signed{Source: f.source}, &control.CommandResponse{})
}

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
		time.Sleep(readyPause)
	}
	return errors.New("the demo fleet did not become ready; see its events in " + f.logFile)
}

func (f *fleet) printHelp(out io.Writer) {
	doc := f.index.Document()
	key, model := demoKey+doc.Workspaces[0].Name, f.targets()[0].Name
	fmt.Fprintf(out, `banyanwalk demo on http://%[1]s, key %[2]s, events in %[3]s

a streamed question:
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

Ctrl-C ends it.
`, f.listen, key, f.logFile, model, f.adminListen, demoToken)
}
