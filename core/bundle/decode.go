package bundle

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"gopkg.in/yaml.v3"
)

// decoder decodes YAML nodes into values and collects all faults.
type decoder struct {
	faults []Fault
}

func (d *decoder) addFault(n *yaml.Node, path, format string, args ...any) {
	d.faults = append(d.faults, Fault{Line: n.Line, Path: path, Message: fmt.Sprintf(format, args...)})
}

// field is one known key of a mapping.
type field struct {
	name     string
	optional bool
	decode   func(n *yaml.Node, path string)
}

// mapping decodes the known fields of a mapping and reports unknown, repeated
// and missing ones.
func (d *decoder) mapping(n *yaml.Node, path string, fields []field) {
	if n.Kind != yaml.MappingNode {
		d.addFault(n, path, "must be a mapping")
		return
	}
	seen := make(map[string]bool, len(fields))
	for i := 0; i+1 < len(n.Content); i += 2 {
		d.entry(n.Content[i], n.Content[i+1], path, fields, seen)
	}
	for _, f := range fields {
		if !f.optional && !seen[f.name] {
			d.addFault(n, joinPath(path, f.name), "is missing")
		}
	}
}

// entry decodes one key of a mapping with the field of that name.
func (d *decoder) entry(key, value *yaml.Node, path string, fields []field, seen map[string]bool) {
	at := joinPath(path, key.Value)
	if seen[key.Value] {
		d.addFault(key, at, "appears twice")
		return
	}
	for _, f := range fields {
		if key.Kind == yaml.ScalarNode && f.name == key.Value {
			seen[f.name] = true
			f.decode(value, at)
			return
		}
	}
	d.addFault(key, at, "unknown field")
}

// list calls decode for each element of a sequence.
func (d *decoder) list(n *yaml.Node, path string, decode func(n *yaml.Node, path string)) {
	if n.Kind != yaml.SequenceNode {
		d.addFault(n, path, "must be a list")
		return
	}
	for i, element := range n.Content {
		decode(element, fmt.Sprintf("%s[%d]", path, i))
	}
}

// scalar reports whether a node is a scalar with the given YAML tag, and adds a
// fault otherwise.
func (d *decoder) scalar(n *yaml.Node, path, tag, want string) bool {
	if n.Kind == yaml.ScalarNode && n.ShortTag() == tag {
		return true
	}
	d.addFault(n, path, "must be %s", want)
	return false
}

func (d *decoder) text(out *string) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		if d.scalar(n, path, "!!str", "text") {
			*out = n.Value
		}
	}
}

func (d *decoder) boolean(out *bool) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		if d.scalar(n, path, "!!bool", "true or false") {
			*out = n.Value == "true" || n.Value == "True" || n.Value == "TRUE"
		}
	}
}

func (d *decoder) version(out *uint64) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		value, err := strconv.ParseUint(n.Value, 10, 63)
		if n.Kind != yaml.ScalarNode || err != nil || value == 0 {
			d.addFault(n, path, "must be a whole number of at least 1")
			return
		}
		*out = value
	}
}

// integer returns a decoder of whole numbers from 1 to high.
func (d *decoder) integer(out *int, high int) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		value, err := strconv.Atoi(n.Value)
		if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!int" || err != nil || value < 1 || value > high {
			d.addFault(n, path, "must be a whole number from 1 to %d", high)
			return
		}
		*out = value
	}
}

func (d *decoder) number(out *float64, low, high float64) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		tag := n.ShortTag()
		value, err := strconv.ParseFloat(n.Value, 64)
		valid := n.Kind == yaml.ScalarNode && (tag == "!!int" || tag == "!!float") && err == nil && !math.IsNaN(value)
		if !valid || value < low || value > high {
			d.addFault(n, path, "must be a number from %g to %g", low, high)
			return
		}
		*out = value
	}
}

func (d *decoder) duration(out *Duration, low, high time.Duration) func(*yaml.Node, string) {
	return func(n *yaml.Node, path string) {
		var value Duration
		if n.Kind != yaml.ScalarNode || value.UnmarshalText([]byte(n.Value)) != nil {
			d.addFault(n, path, "must be a duration such as 30s")
			return
		}
		if value.Std() < low || value.Std() > high {
			d.addFault(n, path, "must lie between %s and %s", low, high)
			return
		}
		*out = value
	}
}

// joinPath appends a field name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
