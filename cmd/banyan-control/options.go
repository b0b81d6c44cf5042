package main

import (
	"net"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"banyanwalk/cmd/internal/member"
	"banyanwalk/core/bundle"
	"banyanwalk/infra/settings"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/tlsconf"
	"banyanwalk/services/control"
)

const maxBatchShards = 64

type options struct {
	member.Process
	id               uint64
	peers            string
	listen           string
	adminListen      string
	dataDir          string
	operatorTokens   string
	trustedOperators string
	unsignedBundles  bool
	batchShards      int
	peerTLS          *tlsconf.PeerFlags
	httpTLS          *tlsconf.ListenerFlags
}

func (o *options) register(set *settings.Set) {
	o.Register(set)
	set.Uint64Var(&o.id, "id", 0, "number of this control host, from 1")
	set.StringVar(&o.peers, "peers", "", "wire addresses of all control hosts: 1=host:port,2=host:port,...")
	set.StringVar(&o.listen, "listen", "127.0.0.1:7400", "wire address for other processes")
	set.StringVar(&o.adminListen, "admin-listen", "", "HTTP address for operators; empty: none")
	set.StringVar(&o.dataDir, "data-dir", "", "directory for the state of this host")
	set.StringVar(&o.operatorTokens, "operator-tokens", "", "SHA-256 digests of the operators' tokens, comma-separated")
	set.StringVar(&o.trustedOperators, "trusted-operators", "", "operators that sign bundles: name=hex ed25519 public key,...")
	set.BoolVar(&o.unsignedBundles, "dev-unsigned-bundles", false, "accept bundles without a signature; for development only")
	set.IntVar(&o.batchShards, "batch-shards", 1, "Raft groups that batch jobs are sharded over; must be the same on all hosts and not change while they hold data")
	o.peerTLS = tlsconf.AddPeerFlags(set)
	o.httpTLS = tlsconf.AddListenerFlags(set)
	set.RequireAddress("listen", &o.listen)
	set.RequireNonEmpty("data-dir", &o.dataDir)
	set.AddCheck(o.checkPeers)
	set.AddCheck(func() error { return control.CheckTokenDigests(settings.SplitList(o.operatorTokens)) })
	set.AddCheck(func() error {
		_, err := bundle.ParseTrustedOperators(settings.SplitList(o.trustedOperators))
		return errors.Wrap(err, "-trusted-operators")
	})
	set.AddCheck(func() error {
		if o.batchShards < 1 || o.batchShards > maxBatchShards {
			return errors.Newf("-batch-shards must lie between 1 and %d", maxBatchShards)
		}
		return nil
	})
}

func (o *options) checkPeers() error {
	peers, err := parsePeers(o.peers)
	if err != nil {
		return err
	}
	if _, found := peers[o.id]; !found {
		return errors.Newf("-id %d is not among -peers", o.id)
	}
	return nil
}

// parsePeers parses comma-separated "id=host:port" pairs.
func parsePeers(list string) (map[uint64]string, error) {
	peers := make(map[uint64]string)
	for _, pair := range settings.SplitList(list) {
		number, addr, _ := strings.Cut(pair, "=")
		id, err := strconv.ParseUint(number, 10, 64)
		if err != nil || id == 0 {
			return nil, errors.Newf("-peers: %q does not start with a number from 1 and =", pair)
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, errors.Newf("-peers: %q is not host:port", addr)
		}
		if _, repeated := peers[id]; repeated {
			return nil, errors.Newf("-peers: %d appears twice", id)
		}
		peers[id] = addr
	}
	return peers, nil
}

// config builds the server configuration from validated options.
func (o *options) config(log *telemetry.Log, registry metrics.Registry) (control.Config, error) {
	peers, err := parsePeers(o.peers)
	if err != nil {
		return control.Config{}, err
	}
	trusted, err := bundle.ParseTrustedOperators(settings.SplitList(o.trustedOperators))
	if err != nil {
		return control.Config{}, err
	}
	serverTLS, clientTLS, err := o.peerTLS.Load()
	if err != nil {
		return control.Config{}, err
	}
	return control.Config{
		ID:                   o.id,
		Peers:                peers,
		DataDir:              o.dataDir,
		DataCentre:           o.DataCentre,
		ServerTLS:            serverTLS,
		ClientTLS:            clientTLS,
		Log:                  log,
		Metrics:              registry,
		OperatorTokens:       settings.SplitList(o.operatorTokens),
		TrustedOperators:     trusted,
		AllowUnsignedBundles: o.unsignedBundles,
	}, nil
}
