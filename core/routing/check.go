package routing

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Validate validates the document and returns all its errors joined, or nil.
func (d *Document) Validate() error {
	var errs []error
	errs = append(errs, d.validateServices()...)
	errs = append(errs, d.validateRoutes()...)
	errs = append(errs, d.validateKeys()...)
	return errors.Join(errs...)
}

func (d *Document) validateServices() []error {
	var errs []error
	seen := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		name := d.Services[i].Name
		if name == "" || seen[name] {
			errs = append(errs, errors.Newf("service %d: name %q is empty or taken", i, name))
		}
		seen[name] = true
	}
	return errs
}

func (d *Document) validateRoutes() []error {
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	var errs []error
	routesByKey := make(map[string]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		key := routeKey(r.Host, r.Prefix)
		if other, taken := routesByKey[key]; taken {
			errs = append(errs, errors.Newf("route %q: host and prefix are those of route %q", r.Name, other))
		}
		routesByKey[key] = r.Name
		if err := r.validate(services); err != nil {
			errs = append(errs, errors.Wrapf(err, "route %q", r.Name))
		}
	}
	return errs
}

func (r *Route) validate(services map[string]bool) error {
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

func (d *Document) validateKeys() []error {
	var errs []error
	owners := make(map[string]string)
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for _, key := range w.Keys {
			if other, taken := owners[key]; taken && other != w.Name {
				errs = append(errs, errors.Newf("workspaces %q and %q share a key", other, w.Name))
			}
			owners[key] = w.Name
		}
	}
	return errs
}
