// Package control runs one control host. It connects the replicated groups to
// their files and the network, pushes the fleet's state to subscribers, manages
// the agents' membership leases and serves the admin API. Package core/fleet
// implements the commands.
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

// ConfigGroup is the replicated group that holds bundles, out-of-service marks,
// targets and quarantine verdicts.
const ConfigGroup uint32 = 0

// Timeouts, intervals and limits of a control host.
const (
	MembershipLease       = 3 * time.Second
	leaseCheckInterval    = 250 * time.Millisecond
	verdictExpiryInterval = 1 * time.Minute
	confirmTimeout        = 2 * time.Second // of one quorum confirmation; longer than an election takes
	subscriberTimeout     = 10 * time.Second
	forwardTimeout        = 5 * time.Second // if the caller sets no deadline
	forwardRetryInterval  = 20 * time.Millisecond
	proposeTimeout        = 2 * time.Second // for commands that the host issues itself
	orderTimeout          = 3 * time.Second
	adminShutdownTimeout  = 2 * time.Second
	maxAgentTargets       = 64
	maxCrashRequests      = 2048 // requests in flight at the crash, and some that ended just before
	maxRequestIDBytes     = 128
	fingerprintHexChars   = 12 // of a token digest that name an operator
)

// Config configures one control host. Zero durations and counts select the
// defaults of package replica.
type Config struct {
	ID                   uint64            // of this host; must not be 0
	Peers                map[uint64]string // wire addresses by ID, including this host
	DataDir              string
	DataCentre           string
	ServerTLS            *tls.Config // nil: no TLS
	ClientTLS            *tls.Config
	Log                  *telemetry.Log
	Metrics              metrics.Registry
	OperatorTokens       []string // SHA-256 digests, lower-case hex
	TrustedOperators     bundle.TrustedOperators
	AllowUnsignedBundles bool // accept bundles without signature
	HeartbeatInterval    time.Duration
	ElectionTimeout      time.Duration
	SnapshotEvery        int // applied entries between snapshots
}

// validate checks the settings and sets defaults for Log and Metrics.
func (c *Config) validate() error {
	if c.ID == 0 {
		return errors.New("the id of a control host must not be 0")
	}
	if _, found := c.Peers[c.ID]; !found {
		return errors.Newf("control host %d is not among its peers", c.ID)
	}
	if c.DataDir == "" {
		return errors.New("no data directory is configured")
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
