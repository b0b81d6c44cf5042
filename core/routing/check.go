package routing

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Check returns all faults of a document as one error, or nil.
func (d *Document) Check() error {
	var faults []error
	faults = append(faults, d.checkServices()...)
	faults = append(faults, d.checkRoutes()...)
	faults = append(faults, d.checkKeys()...)
	return errors.Join(faults...)
}

func (d *Document) checkServices() []error {
	var faults []error
	seen := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		name := d.Services[i].Name
		if name == "" || seen[name] {
			faults = append(faults, errors.Newf("service %d: name %q is empty or taken", i, name))
		}
		seen[name] = true
	}
	return faults
}

func (d *Document) checkRoutes() []error {
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	var faults []error
	places := make(map[string]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		place := placeOf(r.Host, r.Prefix)
		if other, taken := places[place]; taken {
			faults = append(faults, errors.Newf("route %q: host and prefix are those of route %q", r.Name, other))
		}
		places[place] = r.Name
		if err := r.check(services); err != nil {
			faults = append(faults, errors.Wrapf(err, "route %q", r.Name))
		}
	}
	return faults
}

func (r *Route) check(services map[string]bool) error {
	if r.Timeout <= 0 {
		return errors.New("timeout is not positive")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	sum := 0.0
	for _, s := range r.Shares {
		if !services[s.Service] {
			return errors.Newf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.Newf("weight %g of service %q is negative", s.Weight, s.Service)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return errors.New("weights add up to 0")
	}
	return nil
}

func (d *Document) checkKeys() []error {
	var faults []error
	holders := make(map[string]string)
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for _, key := range w.Keys {
			if other, taken := holders[key]; taken && other != w.Name {
				faults = append(faults, errors.Newf("workspaces %q and %q share a key", other, w.Name))
			}
			holders[key] = w.Name
		}
	}
	return faults
}
