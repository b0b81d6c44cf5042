package routing

import (
	"net"
	"strings"
)

// Table indexes one document for lookups on the request path. It is immutable.
type Table struct {
	document         *Document
	routes           map[string]*Route     // by host and prefix
	services         map[string]*Service   // by name
	workspacesByKey  map[string]*Workspace // by key
	workspacesByName map[string]*Workspace // by name
}

// Compile builds the table of a document that passed Validate. The document must
// not be changed afterwards.
func Compile(d *Document) *Table {
	t := &Table{
		document:         d,
		routes:           make(map[string]*Route, len(d.Routes)),
		services:         make(map[string]*Service, len(d.Services)),
		workspacesByKey:  make(map[string]*Workspace),
		workspacesByName: make(map[string]*Workspace, len(d.Workspaces)),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.routes[routeKey(r.Host, r.Prefix)] = r
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		t.workspacesByName[w.Name] = w
		for _, key := range w.Keys {
			t.workspacesByKey[key] = w
		}
	}
	return t
}

// Version returns the version of the document.
func (t *Table) Version() uint64 { return t.document.Version }

// Limits returns the limits on one request.
func (t *Table) Limits() Limits { return t.document.Limits }

// Document returns the document, which must not be changed.
func (t *Table) Document() *Document { return t.document }

// RouteNamed returns the route with a name, or nil.
func (t *Table) RouteNamed(name string) *Route {
	for i := range t.document.Routes {
		if t.document.Routes[i].Name == name {
			return &t.document.Routes[i]
		}
	}
	return nil
}

// Route returns the route of host with the longest prefix of path, or nil. The
// host may include a port.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r, found := t.routes[routeKey(host, path[:slash+1])]; found {
			return r
		}
		end = slash
	}
	return nil
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// EngineServices returns the names of the services whose targets are model engines.
func (t *Table) EngineServices() []string {
	var names []string
	for name, service := range t.services {
		if service.Slots > 0 {
			names = append(names, name)
		}
	}
	return names
}

// RequiresKeys reports whether requests on non-public routes need an API key.
func (t *Table) RequiresKeys() bool { return len(t.workspacesByName) > 0 }

// WorkspaceByKey returns the workspace that an API key belongs to, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.workspacesByKey[key]
}

// Workspace returns a workspace by its name, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.workspacesByName[name] }

// Pick chooses a service in proportion to the weights. at is a random number in
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
	return r.lastWeightedService()
}

// lastWeightedService returns the last service with a positive weight. Pick falls
// back to it when rounding errors leave no share selected.
func (r *Route) lastWeightedService() string {
	for i := len(r.Shares) - 1; i >= 0; i-- {
		if r.Shares[i].Weight > 0 {
			return r.Shares[i].Service
		}
	}
	return ""
}

func routeKey(host, prefix string) string { return strings.ToLower(host) + prefix }
