package rpc

import (
	"banyanwalk/core/catalog"
	"banyanwalk/infra/wire"
)

// Methods called by operators' tools.
const (
	MethodSiteStatus wire.Method = 130 // unary: StatusRequest -> SiteStatus, served by a control host
	MethodJobsStatus wire.Method = 131 // unary: StatusRequest -> JobsStatus, served by a storage host
)

// StatusRequest requests the state of a host.
type StatusRequest struct{}

// ReplicaStatus is the state of a host's replica of a group.
type ReplicaStatus struct {
	Leader   string   `msgpack:"l" json:"leader"` // wire address; empty if no leader is known
	Leads    bool     `msgpack:"o" json:"leads"`
	Term     uint64   `msgpack:"t" json:"term"`
	Commit   uint64   `msgpack:"c" json:"commit"`
	Applied  uint64   `msgpack:"a" json:"applied"`
	Voters   []string `msgpack:"v" json:"voters"` // wire addresses
	Learners []string `msgpack:"n" json:"learners"`
	Changing bool     `msgpack:"g" json:"changing"` // a membership change is in progress
}

// MemberStatus describes a process that is subscribed to the control host.
type MemberStatus struct {
	Name       string `msgpack:"n" json:"name"`
	Role       string `msgpack:"r" json:"role"`
	DataCentre string `msgpack:"d" json:"data_centre"`
	Addr       string `msgpack:"a" json:"addr,omitempty"` // wire address of a storage host
	Leads      bool   `msgpack:"l" json:"leads,omitempty"`
	SilentMS   int64  `msgpack:"s" json:"silent_ms"`
}

// TargetStatus is the control host's view of a target.
type TargetStatus struct {
	ID         string `msgpack:"i" json:"id"`
	Service    string `msgpack:"s" json:"service"`
	Addr       string `msgpack:"a" json:"addr"`
	DataCentre string `msgpack:"d" json:"data_centre"`
	Version    string `msgpack:"v" json:"version"` // of its software
	State      string `msgpack:"t" json:"state"`
	Slots      int    `msgpack:"n" json:"slots"`
	Online     int    `msgpack:"o" json:"online"` // online requests at the target, as reported by the members
	Batch      int    `msgpack:"b" json:"batch"`
	SilentMS   int64  `msgpack:"h" json:"silent_ms"`
}

// SiteStatus is the state of a site as one control host sees it.
type SiteStatus struct {
	Host             string               `msgpack:"h" json:"host"`
	Replica          ReplicaStatus        `msgpack:"r" json:"replica"`
	CatalogConfirmed bool                 `msgpack:"u" json:"current"` // a quorum has confirmed the catalog since the host started
	Version          uint64               `msgpack:"v" json:"version"` // of the document in force on this host
	DataCentresOut   []string             `msgpack:"o" json:"out"`     // data centres out of service
	Retired          []catalog.Retirement `msgpack:"t" json:"retired"`
	ControlHosts     []string             `msgpack:"c" json:"controls"` // wire addresses
	Members          []MemberStatus       `msgpack:"m" json:"members"`
	Targets          []TargetStatus       `msgpack:"g" json:"targets"`
}

// JobsStatus is the state of a storage host.
type JobsStatus struct {
	Host            string        `msgpack:"h" json:"host"`
	Replica         ReplicaStatus `msgpack:"r" json:"replica"`
	Jobs            int           `msgpack:"j" json:"jobs"`
	Archived        int           `msgpack:"a" json:"archived"` // number of jobs whose texts are stored only on disk
	OpenItems       int           `msgpack:"o" json:"open_items"`
	Running         int           `msgpack:"n" json:"running"`  // items running on targets; known only to the leader
	ArchiveComplete bool          `msgpack:"c" json:"complete"` // the host has the texts of all archived jobs
}
