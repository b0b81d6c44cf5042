// Package member defines the flags that the long-running programs of a fleet
// share, and those of the programs that receive their state from the control
// hosts.
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

// Process holds the flags of every long-running program.
type Process struct {
	DataCentre    string
	MetricsListen string
	logLevel      string
}

// Register adds the flags -data-centre, -metrics-listen and -log-level.
func (p *Process) Register(set *settings.Set) {
	set.StringVar(&p.DataCentre, "data-centre", "", "data centre of this host")
	set.StringVar(&p.MetricsListen, "metrics-listen", "", "HTTP address for /metrics, /healthz and /readyz; empty: none")
	set.StringVar(&p.logLevel, "log-level", "info", "log level")
}

// Log returns a log that writes to standard error and names the process in each
// event.
func (p *Process) Log(process string) (*telemetry.Log, error) {
	log, err := telemetry.NewLog(telemetry.Options{
		Process:    process,
		DataCentre: p.DataCentre,
		Level:      p.logLevel,
		Output:     os.Stderr,
	})
	return log, errors.Wrap(err, "-log-level")
}

// Member holds the flags of a program that receives its state from the control
// hosts.
type Member struct {
	Process
	Name         string
	controlAddrs string
	peerTLS      *tlsconf.PeerFlags
}

// Register adds the flags of Process, -name, -control and the TLS flags.
func (m *Member) Register(set *settings.Set) {
	m.Process.Register(set)
	set.StringVar(&m.Name, "name", "", "name of this process, unique in the fleet")
	set.StringVar(&m.controlAddrs, "control", "", "wire addresses of the control hosts, comma-separated")
	m.peerTLS = tlsconf.AddPeerFlags(set)
	set.RequireNonEmpty("name", &m.Name)
	set.RequireNonEmpty("control", &m.controlAddrs)
}

// NewNodeCommon opens the metrics listener, loads the TLS files and returns the
// configuration that all services of package node share. The log names the
// process kind/name.
func (m *Member) NewNodeCommon(kind string) (node.Common, error) {
	log, err := m.Log(kind + "/" + m.Name)
	if err != nil {
		return node.Common{}, err
	}
	serverTLS, clientTLS, err := m.peerTLS.Load()
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
		ControlAddrs: settings.SplitList(m.controlAddrs),
		ServerTLS:    serverTLS,
		ClientTLS:    clientTLS,
		Log:          log,
		Metrics:      metrics.NewRegistry(),
		Admin:        admin,
	}, nil
}
