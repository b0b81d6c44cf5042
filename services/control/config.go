// Package control runs one control host: it binds the replicated groups to
// their files and to the network, pushes the fleet's state to subscribers,
// keeps the agents' membership leases and serves the operators. What the
// commands do is decided in core/fleet.
package control

import (
	"crypto/tls"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"banyanwalk/core/bundle"
	"banyanwalk/infra/telemetry"
)

// ConfigGroup is the group that holds bundles, marks, targets and verdicts.
const ConfigGroup uint32 = 0

// Times of the control host.
const (
	MembershipLease     = 3 * time.Second
	membershipTick      = 250 * time.Millisecond
	agingInterval       = 1 * time.Minute
	confirmTimeout      = 2 * time.Second // one quorum confirmation; outlasts an election
	subscriberTimeout   = 10 * time.Second
	forwardTimeout      = 5 * time.Second // when the caller sets no deadline
	forwardRetryPause   = 20 * time.Millisecond
	proposeTimeout      = 2 * time.Second // commands of the host itself
	orderTimeout        = 3 * time.Second
	adminDrainTimeout   = 2 * time.Second
	maxAgentTargets     = 64
	maxCrashRequests    = 2048 // an agent reports those in flight and some that just ended
	maxRequestIDBytes   = 128
	fingerprintHexChars = 12 // of a token digest, to name an operator in logs
)

// Config describes one control host. Zero durations mean the defaults of
// package replica.
type Config struct {
	ID                uint64            // of this host, never zero
	Peers             map[uint64]string // wire address by ID, this host included
	DataDir           string
	DataCentre        string
	ServerTLS         *tls.Config // nil: in the clear
	ClientTLS         *tls.Config
	Log               *telemetry.Log
	Metrics           metrics.Registry
	OperatorTokens    []string // SHA-256 digests, lower-case hex
	TrustedOperators  bundle.TrustedOperators
	UnsignedBundles   bool // accept bundles without a signature
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	SnapshotEvery     int // entries
}

func (c *Config) check() error {
	if c.ID == 0 {
		return errors.New("the id of a control host must not be 0")
	}
	if _, found := c.Peers[c.ID]; !found {
		return errors.Newf("control host %d is not among its peers", c.ID)
	}
	if c.DataDir == "" {
		return errors.New("no data folder")
	}
	if c.Log == nil {
		c.Log = telemetry.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return nil
}

func (c *Config) peerIDs() []uint64 { return slices.Sorted(maps.Keys(c.Peers)) }

func (c *Config) peerAddress(id uint64) (string, bool) {
	addr, found := c.Peers[id]
	return addr, found
}

func (c *Config) groupDir(group uint32) string {
	return filepath.Join(c.DataDir, "group-"+strconv.FormatUint(uint64(group), 10))
}
