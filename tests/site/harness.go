// Package site runs the programs of a site as processes on loopback addresses,
// with stand-in targets, an operator and callers, for tests and for the soak.
package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"banyanwalk/platform"
	"banyanwalk/services/standin"
)

// Ports of every host, as a provider gives them.
const (
	frontendPort  = 8405
	readinessPort = 8406
	operatorsPort = 8407
	firstWirePort = 7660
	lastWirePort  = 7675
	beatInterval  = 300 * time.Millisecond
	callTimeout   = 2 * time.Second
	endTimeout    = 20 * time.Second
)

// The roles of hosts.
const (
	Gateway = "gateway"
	Control = "control"
	Store   = "store"
)

// Site is a running site.
type Site struct {
	Hosts    []*Host
	binaries string
	dir      string
	zones    []string
	client   *http.Client
	waiting  conc.WaitGroup // for processes to end

	mu      sync.Mutex
	targets []*beating
	version uint64
}

// beating is a target that reports itself.
type beating struct {
	target  *standin.Target
	addr    string // that it reports; its own or that of a proxy before it
	service string
	zone    string
	born    int64
	stop    context.CancelFunc
	beating conc.WaitGroup
}

// New lays out a site of so many hosts of each role under dir. network is the
// third part of its loopback addresses, 127.0.network.x.
func New(binaries, dir string, network, gateways, controls, stores int) *Site {
	s := &Site{
		binaries: binaries, dir: dir, zones: []string{"za", "zb", "zc"},
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	next := 1
	add := func(role string, count int) {
		for i := range count {
			s.Hosts = append(s.Hosts, &Host{
				Name: fmt.Sprintf("%s-%d", role, i+1), Role: role, IP: fmt.Sprintf("127.0.%d.%d", network, next), site: s, first: true,
			})
			next++
		}
	}
	add(Control, controls)
	add(Store, stores)
	add(Gateway, gateways)
	return s
}

// Role returns the hosts of a role.
func (s *Site) Role(role string) []*Host {
	var hosts []*Host
	for _, h := range s.Hosts {
		if h.Role == role {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// NewHost returns a host beyond those that the site was laid out with, which
// the caller starts and ends. number tells it apart.
func (s *Site) NewHost(role string, number int, fields map[string]any) *Host {
	ip := s.Hosts[0].IP
	return &Host{Name: fmt.Sprintf("%s-%d", role, number), Role: role, Fields: fields, site: s,
		IP: fmt.Sprintf("%s.%d", ip[:strings.LastIndex(ip, ".")], number)}
}

// Close ends all processes and targets.
func (s *Site) Close() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	s.waiting.Wait()
	s.mu.Lock()
	targets := s.targets
	s.mu.Unlock()
	for _, b := range targets {
		b.stop()
		b.beating.Wait()
		b.target.Close()
	}
}

// AddTarget lets a stand-in target report itself to the site under an address,
// which may be that of a proxy before it.
func (s *Site) AddTarget(t *standin.Target, addr, service string, slots int) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	b := &beating{target: t, addr: addr, service: service, zone: s.zones[len(s.targets)%len(s.zones)],
		born: time.Now().UnixMilli(), stop: cancel}
	s.targets = append(s.targets, b)
	s.mu.Unlock()
	b.beating.Go(func() { s.beat(ctx, b, slots) })
}

// beat reports a target to one control host after another.
func (s *Site) beat(ctx context.Context, b *beating, slots int) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, err := json.Marshal(map[string]any{
			"service": b.service, "address": b.addr, "zone": b.zone, "version": "v1", "slots": slots, "state": "ready",
			"warmup_left_ms": 0, "sequence": sequence, "born": b.born,
		})
		if err != nil {
			return
		}
		for _, control := range s.Role(Control) {
			if status, _, err := s.Operate(control, http.MethodPost, "/v1/instances/"+b.target.ID+"/heartbeat", body); err == nil && status == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// Operate sends an operator's or a target's call to one control host.
func (s *Site) Operate(control *Host, method, path string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", control.IP, operatorsPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// Configuration returns the next version of a configuration with one route of
// each kind, and its number.
func (s *Site) Configuration(services ...string) (version uint64, body []byte) {
	s.mu.Lock()
	s.version++
	version = s.version
	s.mu.Unlock()
	route := func(name, kind string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "hostname": "site.example", "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 5000,
			"target_latency_ms": 300, "service": services[0], "max_attempts": 3, "resumable": kind == "streaming"}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	listed := make([]map[string]any, 0, len(services))
	for _, name := range services {
		listed = append(listed, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 100, "engine": map[string]any{"slots": 8}})
	}
	body, _ = json.Marshal(map[string]any{ // maps of strings and numbers can be encoded
		"version": version,
		"routes": []any{
			route("ask", "streaming", nil), route("card", "idempotent", nil),
			route("once", "non_idempotent", map[string]any{"max_attempts": 1}),
			route("lots", "batch", map[string]any{"completion_target_ms": 18000, "max_wait_s": 60}),
			route(fmt.Sprint("version-", version), "idempotent", nil),
		},
		"services": listed,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "w1", "api_keys": []string{"k1"}}},
	})
	return version, body
}

// PutConfiguration sends a configuration until a control host acknowledges it.
func (s *Site) PutConfiguration(ctx context.Context, body []byte) error {
	for {
		for _, control := range s.Role(Control) {
			status, answer, err := s.Operate(control, http.MethodPost, "/v1/configuration/replace", body)
			switch {
			case err == nil && status == http.StatusOK:
				return nil
			case err == nil && status < http.StatusInternalServerError:
				return errors.Newf("configuration refused: %d %s", status, answer)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(beatInterval):
		}
	}
}

// Answer is what a caller got.
type Answer struct {
	Status    int
	Signature string
	Body      string
	Err       error // the answer broke off, or there was none
}

// Ask sends a caller's request to a gateway.
func (s *Site) Ask(ctx context.Context, gateway *Host, method, path, id string, body []byte) Answer {
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", gateway.IP, frontendPort, path), bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	dialect := platform.HeaderNames()
	request.Host = "site.example"
	request.Header.Set(dialect.RequestID, id)
	request.Header.Set(dialect.Key, "k1")
	request.Header.Set(dialect.Deadline, "5000")
	response, err := s.client.Transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Signature: response.Header.Get(dialect.Signature), Body: string(read), Err: err}
}

// Ready reports whether a gateway says that it is ready.
func (s *Site) Ready(gateway *Host) bool {
	response, err := s.client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", gateway.IP, readinessPort))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Faults returns the lines of all logs that tell of a data race or a panic.
func (s *Site) Faults() []string {
	var faults []string
	for _, h := range s.Hosts {
		content, err := os.ReadFile(h.Log())
		if err != nil {
			continue // it has not started
		}
		for line := range strings.Lines(string(content)) {
			if strings.Contains(line, "DATA RACE") || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				faults = append(faults, h.Name+": "+line)
			}
		}
	}
	return faults
}
