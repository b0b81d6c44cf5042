// Package announce defines the messages between a target and the agent on its
// host. A target registers by an HTTP POST of its announcement in JSON, which it
// repeats while it runs; the agent requests load reports and sends orders.
package announce

import (
	"net"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/bundle"
)

// Path is the HTTP path at which agents accept announcements.
const Path = "/v1/announce"

const (
	maxNameBytes = 128
	maxCapacity  = 1 << 16
)

// Announcement describes a running target.
type Announcement struct {
	Name            string      `json:"name"`  // unique on the host
	Kind            bundle.Kind `json:"kind"`  // model or service
	Model           string      `json:"model"` // model or service name of the bundle
	Incarnation     uint64      `json:"incarnation"`
	Address         string      `json:"address"`                     // host:port of the target's HTTP listener
	WarmCapacity    int         `json:"warm_capacity"`               // concurrent requests once warmed up
	ColdCapacity    int         `json:"cold_capacity"`               // concurrent requests right after the process starts
	WarmupRequests  int         `json:"warmup_requests,omitempty"`   // successful requests needed to warm up; 0: unknown
	EchoesRequestID bool        `json:"echoes_request_id,omitempty"` // responses carry X-Request-Id and, from models, a JSON id that ends with it
	ReportsLoad     bool        `json:"reports_load,omitempty"`      // serves GET /load
	TakesOrders     bool        `json:"takes_orders,omitempty"`      // serves POST /orders
	Leaving         bool        `json:"leaving,omitempty"`           // is shutting down and takes no new work
}

// Response acknowledges an announcement.
type Response struct {
	IntervalMS int64 `json:"interval_ms"` // milliseconds until the next announcement is due
}

// Validate returns the first fault of the announcement, or nil.
func (a *Announcement) Validate() error {
	if a.Name == "" || len(a.Name) > maxNameBytes {
		return errors.Newf("name must have 1 to %d bytes", maxNameBytes)
	}
	if a.Kind != bundle.KindModel && a.Kind != bundle.KindService {
		return errors.Newf("kind %q is neither model nor service", a.Kind)
	}
	if a.Model == "" {
		return errors.New("model is empty")
	}
	if a.Incarnation == 0 {
		return errors.New("incarnation is zero")
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return errors.Wrap(err, "address")
	}
	if a.WarmCapacity < 1 || a.WarmCapacity > maxCapacity {
		return errors.Newf("warm_capacity must be 1 to %d", maxCapacity)
	}
	if a.ColdCapacity < 1 || a.ColdCapacity > a.WarmCapacity {
		return errors.New("cold_capacity must be 1 to warm_capacity")
	}
	if a.WarmupRequests < 0 {
		return errors.New("warmup_requests is negative")
	}
	return nil
}

// Load is the response of a target to GET /load. It lags behind the actual load.
type Load struct {
	Running int `json:"running"` // requests in progress
}

// Order is the body of a POST /orders request to a target. Fence is a fencing
// token: a target that checks it refuses orders with a lower one than it has seen.
type Order struct {
	Kind  string `json:"kind"`
	Value string `json:"value"`
	Fence uint64 `json:"fence"`
}
