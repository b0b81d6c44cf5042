package bundle

import (
	"cmp"
	"regexp"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"
)

// position is the location of a value in the source and its path in the document.
type position struct {
	node *yaml.Node
	path string
}

// reference is a value that is validated against the rest of the document.
type reference struct {
	value string
	position
}

// references holds what validate needs besides the document: the positions of the
// named elements, in document order, and the values that refer to other elements or
// must be unique.
type references struct {
	dataCentres   []position
	workspaces    []position
	models        []position
	routes        []position
	allowedModels []reference // model names in the workspaces' lists
	keyDigests    []reference // digests of the workspaces' keys
}

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern   = regexp.MustCompile(`^(/[A-Za-z0-9._~:-]+)+$`)
)

// validate reports malformed and repeated names, and references to names that
// do not exist.
func (p *parser) validate() {
	p.validateDataCentres()
	p.validateModels()
	p.validateWorkspaces()
	p.validateRoutes()
}

// requireUnique reports a value that is already in seen.
func (p *parser) requireUnique(seen map[string]int, value string, at position) {
	if first, found := seen[value]; found {
		p.addFault(at.node, at.path, "repeats %q of line %d", value, first)
		return
	}
	seen[value] = at.node.Line
}

func (p *parser) validateDataCentres() {
	seen := make(map[string]int)
	for i, dc := range p.doc.DataCentres {
		at := p.references.dataCentres[i]
		p.requirePattern(namePattern, dc.Name, at, "name")
		p.requirePattern(namePattern, dc.Region, at, "region")
		p.requireUnique(seen, dc.Name, at)
	}
}

func (p *parser) validateModels() {
	seen := make(map[string]int)
	for i, m := range p.doc.Models {
		at := p.references.models[i]
		p.requirePattern(modelPattern, m.Name, at, "name")
		p.requireUnique(seen, m.Name, at)
		if m.Kind != KindModel && m.Kind != KindService {
			p.addFault(at.node, joinPath(at.path, "kind"), "must be %q or %q", KindModel, KindService)
		}
	}
	for _, ref := range p.references.allowedModels {
		if _, found := seen[ref.value]; !found {
			p.addFault(ref.node, ref.path, "no model %q in this bundle", ref.value)
		}
	}
}

func (p *parser) validateWorkspaces() {
	seen := make(map[string]int)
	for i, w := range p.doc.Workspaces {
		at := p.references.workspaces[i]
		p.requirePattern(namePattern, w.Name, at, "name")
		p.requireUnique(seen, w.Name, at)
	}
	digests := make(map[string]int)
	for _, ref := range p.references.keyDigests {
		if !digestPattern.MatchString(ref.value) {
			p.addFault(ref.node, joinPath(ref.path, "digest"), "must be a SHA-256 digest of 64 lower-case hex digits")
			continue
		}
		p.requireUnique(digests, ref.value, ref.position)
	}
}

func (p *parser) validateRoutes() {
	seen := make(map[string]int)
	for i, r := range p.doc.Routes {
		at := p.references.routes[i]
		if !pathPattern.MatchString(r.Path) || strings.Contains(r.Path, "/.") {
			p.addFault(at.node, joinPath(at.path, "path"), "%q must be an absolute path without a trailing slash", r.Path)
		}
		p.requireUnique(seen, r.Path, at)
		if r.Service != "" && !p.hasService(r.Service) {
			p.addFault(at.node, joinPath(at.path, "service"), "no plain service %q in this bundle", r.Service)
		}
	}
}

func (p *parser) hasService(name string) bool {
	return slices.ContainsFunc(p.doc.Models, func(m Model) bool {
		return m.Name == name && m.Kind == KindService
	})
}

// requirePattern reports a value that is empty or does not match pattern.
func (p *parser) requirePattern(pattern *regexp.Regexp, value string, at position, name string) {
	if value != "" && !pattern.MatchString(value) {
		p.addFault(at.node, joinPath(at.path, name), "%q has characters that names may not have, or too many", value)
	}
	if value == "" {
		p.addFault(at.node, joinPath(at.path, name), "must not be empty")
	}
}

// sortFaults sorts faults by line.
func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
}
