// Package member holds the settings that every long-running program shares, and
// those of programs that follow control.
package member

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"banyanwalk/infra/settings"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/tlsconf"
	"banyanwalk/services/node"
)

// Process is the settings of any long-running program.
type Process struct {
	DataCentre    string
	MetricsListen string
	logLevel      string
}

// Register adds -data-centre, -metrics-listen and -log-level.
func (p *Process) Register(set *settings.Set) {
	set.StringVar(&p.DataCentre, "data-centre", "", "data centre of this host")
	set.StringVar(&p.MetricsListen, "metrics-listen", "", "HTTP address for /metrics, /healthz and /readyz; empty: none")
	set.StringVar(&p.logLevel, "log-level", "info", "log level")
}

// Log returns the log of the process, on standard error.
func (p *Process) Log(process string) (*telemetry.Log, error) {
	log, err := telemetry.NewLog(telemetry.Options{
		Process:    process,
		DataCentre: p.DataCentre,
		Level:      p.logLevel,
		Output:     os.Stderr,
	})
	return log, errors.Wrap(err, "-log-level")
}

// Member is the settings of a program that follows control.
type Member struct {
	Process
	Name    string
	control string
	peer    *tlsconf.PeerFlags
}

// Register adds the flags of Process, -name, -control and those of TLS.
func (m *Member) Register(set *settings.Set) {
	m.Process.Register(set)
	set.StringVar(&m.Name, "name", "", "name of this process, unique in the fleet")
	set.StringVar(&m.control, "control", "", "wire addresses of the control hosts, comma-separated")
	m.peer = tlsconf.AddPeerFlags(set)
	set.RequireNonEmpty("name", &m.Name)
	set.RequireNonEmpty("control", &m.control)
}

// Common opens the admin listener and returns what package node needs of
// these settings. kind is part of the process's name in its events.
func (m *Member) Common(kind string) (node.Common, error) {
	log, err := m.Log(kind + "/" + m.Name)
	if err != nil {
		return node.Common{}, err
	}
	serverTLS, clientTLS, err := m.peer.Load()
	if err != nil {
		return node.Common{}, err
	}
	admin, err := settings.ListenOptional(m.MetricsListen)
	if err != nil {
		return node.Common{}, err
	}
	return node.Common{
		Name:         m.Name,
		DataCentre:   m.DataCentre,
		ControlAddrs: settings.SplitList(m.control),
		ServerTLS:    serverTLS,
		ClientTLS:    clientTLS,
		Log:          log,
		Metrics:      metrics.NewRegistry(),
		Admin:        admin,
	}, nil
}
