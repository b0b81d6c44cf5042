package routing

import (
	"net"
	"strings"
)

// Table answers the questions of the request path about one document. It is
// immutable.
type Table struct {
	document *Document
	places   map[string]*Route     // by host and prefix
	services map[string]*Service   // by name
	keys     map[string]*Workspace // by key
	names    map[string]*Workspace // by name
}

// Compile returns the table of a checked document, which must not be changed
// afterwards.
func Compile(d *Document) *Table {
	t := &Table{
		document: d,
		places:   make(map[string]*Route, len(d.Routes)),
		services: make(map[string]*Service, len(d.Services)),
		keys:     make(map[string]*Workspace),
		names:    make(map[string]*Workspace, len(d.Workspaces)),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.places[placeOf(r.Host, r.Prefix)] = r
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		t.names[w.Name] = w
		for _, key := range w.Keys {
			t.keys[key] = w
		}
	}
	return t
}

// Version returns the version of the document.
func (t *Table) Version() uint64 { return t.document.Version }

// Document returns the document, which must not be changed.
func (t *Table) Document() *Document { return t.document }

// Route returns the route with the longest prefix of path for host, which may
// carry a port, or nil.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r, found := t.places[placeOf(host, path[:slash+1])]; found {
			return r
		}
		end = slash
	}
	return nil
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Keyed reports whether requests on routes that are not public need a key.
func (t *Table) Keyed() bool { return len(t.names) > 0 }

// Holder returns the workspace that holds a key, or nil.
func (t *Table) Holder(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// Workspace returns a workspace by its name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.names[name] }

// Pick returns the service that gets a request, by its shares; at lies in
// [0, 1).
func (r *Route) Pick(at float64) string {
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	left := at * sum
	for _, s := range r.Shares {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.lastWithWeight()
}

// lastWithWeight serves a draw that rounding has carried past the end.
func (r *Route) lastWithWeight() string {
	for i := len(r.Shares) - 1; i >= 0; i-- {
		if r.Shares[i].Weight > 0 {
			return r.Shares[i].Service
		}
	}
	return ""
}

func placeOf(host, prefix string) string { return strings.ToLower(host) + prefix }
