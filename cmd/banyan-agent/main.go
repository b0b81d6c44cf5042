// Command banyan-agent runs on each host with targets. All requests to these
// targets pass through it; it handles admission, cold start, priority,
// deduplication, orders and draining.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/cmd/internal/member"
	"banyanwalk/core/admission"
	"banyanwalk/infra/settings"
	"banyanwalk/services/agent"
	"banyanwalk/services/node"
)

const program = "banyan-agent"

type options struct {
	member.Member
	listen         string
	announceListen string
	advertise      string
	drainTimeout   time.Duration
	announceTTL    time.Duration
	admission      admission.Config
}

func main() {
	var o options
	set := settings.New(program, "proxy for all requests to the targets of its host")
	o.register(set)
	if err := set.Parse(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
	settings.Exit(program, run(&o))
}

func (o *options) register(set *settings.Set) {
	o.Register(set)
	set.StringVar(&o.listen, "listen", "127.0.0.1:7200", "wire address for gateways and control")
	set.StringVar(&o.advertise, "advertise", "", "wire address to register with control; empty: that of the listener")
	set.StringVar(&o.announceListen, "announce-listen", "127.0.0.1:7100", "HTTP address for the announcements of this host's targets")
	set.DurationVar(&o.drainTimeout, "drain-timeout", 30*time.Second, "time for requests in flight to finish at shutdown")
	set.DurationVar(&o.announceTTL, "announce-ttl", 5*time.Second, "a target that does not announce itself for this long is removed")
	set.DurationVar(&o.admission.MaxWait, "max-wait", 500*time.Millisecond, "longest wait of an online request for a slot")
	set.DurationVar(&o.admission.BatchHoldoff, "batch-holdoff", 5*time.Millisecond, "no batch item starts for this long after an online request had to wait")
	set.RequireAddress("listen", &o.listen)
	set.RequireAddress("announce-listen", &o.announceListen)
	set.RequireNonEmpty("data-centre", &o.DataCentre)
	set.AddCheck(o.check)
}

func (o *options) check() error {
	if strings.Contains(o.Name, "/") {
		return errors.Newf("-name: %q must not contain a slash", o.Name)
	}
	return nil
}

func run(o *options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	common, err := o.NewNodeCommon("agent")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return errors.Wrap(err, "-listen")
	}
	announceListener, err := net.Listen("tcp", o.announceListen)
	if err != nil {
		return errors.Wrap(err, "-announce-listen")
	}
	a := &node.Agent{
		Common:           common,
		Listener:         listener,
		AnnounceListener: announceListener,
		Settings: agent.Config{
			AdvertiseAddr: o.advertise,
			Admission:     o.admission,
			DrainTimeout:  o.drainTimeout,
			AnnounceTTL:   o.announceTTL,
		},
	}
	return a.Run(ctx)
}
