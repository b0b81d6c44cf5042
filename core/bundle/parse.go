package bundle

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"
)

// Limits of a document's size and of its fields' values.
const (
	MaxSourceBytes    = 2 << 20
	maxNodes          = 1 << 20 // of the parsed source
	maxRate           = 1e6     // requests per second
	maxBurst          = 1_000_000
	maxWeight         = 1_000
	maxBodyBytes      = 15 << 20 // must fit into one frame between processes
	maxBatchFileBytes = 1 << 30
	maxBatchItems     = 1_000_000
	maxItemAttempts   = 20
	maxAttempts       = 10
	minRequestTimeout = 100 * time.Millisecond
	maxRequestTimeout = 1 * time.Hour
)

// parser decodes one document and records the positions of its names.
type parser struct {
	decoder
	doc        Document
	references references
}

// Parse decodes and validates a document in YAML, or in JSON as its subset. If
// there are faults, the document is nil and all faults are returned in source
// order.
func Parse(source []byte) (*Document, []Fault) {
	root, fault := parseRoot(source)
	if fault != nil {
		return nil, []Fault{*fault}
	}
	p := &parser{}
	if p.checkNodes(root) {
		p.document(root)
		p.validate()
	}
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return nil, p.faults
	}
	return &p.doc, nil
}

func parseRoot(source []byte) (*yaml.Node, *Fault) {
	if len(source) > MaxSourceBytes {
		return nil, &Fault{Message: "the document exceeds " + strconv.Itoa(MaxSourceBytes) + " bytes"}
	}
	reader := yaml.NewDecoder(bytes.NewReader(source))
	var root, extra yaml.Node
	if err := reader.Decode(&root); err != nil {
		return nil, newSyntaxFault(err)
	}
	if err := reader.Decode(&extra); !errors.Is(err, io.EOF) {
		if err != nil {
			return nil, newSyntaxFault(err)
		}
		return nil, &Fault{Line: extra.Line, Message: "a second document in the same source"}
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 {
		return nil, &Fault{Message: "the document is empty"}
	}
	return root.Content[0], nil
}

var yamlLine = regexp.MustCompile(`line (\d+)`)

func newSyntaxFault(err error) *Fault {
	if errors.Is(err, io.EOF) {
		return &Fault{Message: "the document is empty"}
	}
	fault := &Fault{Message: strings.TrimPrefix(err.Error(), "yaml: ")}
	if match := yamlLine.FindStringSubmatch(fault.Message); match != nil {
		fault.Line, _ = strconv.Atoi(match[1])
	}
	return fault
}

// checkNodes rejects anchors and aliases, whose expansion could be huge, and
// documents with too many nodes.
func (p *parser) checkNodes(root *yaml.Node) bool {
	pending := []*yaml.Node{root}
	for count := 0; len(pending) > 0; count++ {
		n := pending[len(pending)-1]
		pending = append(pending[:len(pending)-1], n.Content...)
		if n.Kind == yaml.AliasNode || n.Anchor != "" {
			p.addFault(n, "", "anchors and aliases are not allowed")
			return false
		}
		if count > maxNodes {
			p.addFault(n, "", "more than %d values", maxNodes)
			return false
		}
	}
	return true
}

func (p *parser) document(n *yaml.Node) {
	p.mapping(n, "", []field{
		{name: "version", decode: p.version(&p.doc.Version)},
		{name: "data_centres", decode: p.dataCentres},
		{name: "workspaces", decode: p.workspaces},
		{name: "models", decode: p.models},
		{name: "routes", decode: p.routes},
		{name: "limits", decode: p.limits},
	})
}

func (p *parser) dataCentres(n *yaml.Node, path string) {
	p.list(n, path, func(n *yaml.Node, path string) {
		var dc DataCentre
		p.mapping(n, path, []field{
			{name: "name", decode: p.text(&dc.Name)},
			{name: "region", decode: p.text(&dc.Region)},
		})
		p.doc.DataCentres = append(p.doc.DataCentres, dc)
		p.references.dataCentres = append(p.references.dataCentres, position{n, path})
	})
}

func (p *parser) workspaces(n *yaml.Node, path string) {
	p.list(n, path, func(n *yaml.Node, path string) {
		var w Workspace
		p.mapping(n, path, []field{
			{name: "name", decode: p.text(&w.Name)},
			{name: "rate", decode: p.number(&w.Rate, 0.001, maxRate)},
			{name: "burst", decode: p.integer(&w.Burst, maxBurst)},
			{name: "weight", decode: p.integer(&w.Weight, maxWeight)},
			{name: "models", optional: true, decode: func(n *yaml.Node, path string) { w.Models = p.modelNames(n, path) }},
			{name: "keys", optional: true, decode: func(n *yaml.Node, path string) { w.Keys = p.keys(n, path) }},
		})
		p.doc.Workspaces = append(p.doc.Workspaces, w)
		p.references.workspaces = append(p.references.workspaces, position{n, path})
	})
}

func (p *parser) modelNames(n *yaml.Node, path string) []string {
	var names []string
	p.list(n, path, func(n *yaml.Node, path string) {
		var name string
		p.text(&name)(n, path)
		names = append(names, name)
		p.references.allowedModels = append(p.references.allowedModels, reference{name, position{n, path}})
	})
	if n.Kind == yaml.SequenceNode && len(names) == 0 {
		p.addFault(n, path, "must not be empty; leave it out to allow all")
	}
	return names
}

func (p *parser) keys(n *yaml.Node, path string) []Key {
	var keys []Key
	p.list(n, path, func(n *yaml.Node, path string) {
		var key Key
		p.mapping(n, path, []field{
			{name: "digest", decode: p.text(&key.Digest)},
			{name: "label", optional: true, decode: p.text(&key.Label)},
		})
		keys = append(keys, key)
		p.references.keyDigests = append(p.references.keyDigests, reference{key.Digest, position{n, path}})
	})
	return keys
}

func (p *parser) models(n *yaml.Node, path string) {
	p.list(n, path, func(n *yaml.Node, path string) {
		var m Model
		var kind string
		p.mapping(n, path, []field{
			{name: "name", decode: p.text(&m.Name)},
			{name: "kind", decode: p.text(&kind)},
		})
		m.Kind = Kind(kind)
		p.doc.Models = append(p.doc.Models, m)
		p.references.models = append(p.references.models, position{n, path})
	})
}

func (p *parser) routes(n *yaml.Node, path string) {
	p.list(n, path, func(n *yaml.Node, path string) {
		var r Route
		p.mapping(n, path, []field{
			{name: "path", decode: p.text(&r.Path)},
			{name: "open", optional: true, decode: p.boolean(&r.Open)},
			{name: "idempotent", optional: true, decode: p.boolean(&r.Idempotent)},
			{name: "service", optional: true, decode: p.text(&r.Service)},
			{name: "timeout", optional: true, decode: p.duration(&r.Timeout, minRequestTimeout, maxRequestTimeout)},
		})
		p.doc.Routes = append(p.doc.Routes, r)
		p.references.routes = append(p.references.routes, position{n, path})
	})
}

func (p *parser) limits(n *yaml.Node, path string) {
	l := &p.doc.Limits
	p.mapping(n, path, []field{
		{name: "max_body_bytes", decode: p.integer(&l.MaxBodyBytes, maxBodyBytes)},
		{name: "max_batch_file_bytes", decode: p.integer(&l.MaxBatchFileBytes, maxBatchFileBytes)},
		{name: "max_batch_items", decode: p.integer(&l.MaxBatchItems, maxBatchItems)},
		{name: "max_item_attempts", decode: p.integer(&l.MaxItemAttempts, maxItemAttempts)},
		{name: "max_attempts", decode: p.integer(&l.MaxAttempts, maxAttempts)},
		{name: "retry_ratio", decode: p.number(&l.RetryRatio, 0, 1)},
		{name: "request_timeout", decode: p.duration(&l.RequestTimeout, minRequestTimeout, maxRequestTimeout)},
		{name: "open_rate", decode: p.number(&l.OpenRate, 0.001, maxRate)},
		{name: "open_burst", decode: p.integer(&l.OpenBurst, maxBurst)},
	})
}
