// Package timeline merges the event logs of several processes into one order
// by their hybrid logical clocks.
package timeline

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/hlc"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Keys of the standard fields of an event.
const (
	keyHLC        = "hlc"
	keyProcess    = "process"
	keyDataCentre = "data_centre"
	keyEvent      = "msg"
	keyLevel      = "level"
	keyTime       = "time"
)

// Keys by which events are selected.
var (
	requestKeys = []string{"request", "request_id"}
	jobKeys     = []string{"job", "job_id"}
	targetKeys  = []string{"target", "target_id"}
	serviceKeys = []string{"service"}
)

// Field is a key and value of an event, other than the standard ones.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Fields are the non-standard fields of an event, in log order.
type Fields []Field

// String returns the fields as key=value pairs.
func (f Fields) String() string {
	pairs := make([]string, len(f))
	for i, field := range f {
		pairs[i] = field.Key + "=" + quoteIfNeeded(field.Value)
	}
	return strings.Join(pairs, " ")
}

// Event is one parsed log line.
type Event struct {
	HLC        hlc.Timestamp `json:"-"`
	HLCText    string        `json:"hlc"` // HLC as logged: wall milliseconds and counter
	Process    string        `json:"process"`
	DataCentre string        `json:"data_centre"`
	Level      string        `json:"level"`
	Name       string        `json:"event"`
	Fields     Fields        `json:"fields"`
}

// Filter selects events. An empty condition matches every event.
type Filter struct {
	Request string
	Job     string
	Target  string
	Service string
	Since   time.Time
}

// Matches reports whether an event meets all conditions.
func (f Filter) Matches(e *Event) bool {
	if !f.Since.IsZero() && e.HLC.WallMS() < f.Since.UnixMilli() {
		return false
	}
	return e.has(requestKeys, f.Request) && e.has(jobKeys, f.Job) && e.has(targetKeys, f.Target) && e.has(serviceKeys, f.Service)
}

func (e *Event) has(keys []string, value string) bool {
	if value == "" {
		return true
	}
	return slices.ContainsFunc(e.Fields, func(f Field) bool {
		return f.Value == value && slices.Contains(keys, f.Key)
	})
}

// Read returns the events of one log that match the filter. It skips lines that
// are not events, such as a panic's stack trace.
func Read(r io.Reader, filter Filter) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		e, ok := Parse(scanner.Text())
		if ok && filter.Matches(&e) {
			events = append(events, e)
		}
	}
	return events, errors.Wrap(scanner.Err(), "read log")
}

// Sort orders events by hybrid logical clock, then by process. It is stable.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.HLC, b.HLC), cmp.Compare(a.Process, b.Process))
	})
}

// Parse parses one log line. It returns false if the line is malformed or has no
// valid HLC timestamp.
func Parse(line string) (Event, bool) {
	var e Event
	hasHLC := false
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimLeft(line, " ") {
		field, rest, ok := cutField(line)
		if !ok {
			return Event{}, false
		}
		line = rest
		switch field.Key {
		case keyHLC:
			e.HLCText = field.Value
			e.HLC, hasHLC = parseHLC(field.Value)
		case keyProcess:
			e.Process = field.Value
		case keyDataCentre:
			e.DataCentre = field.Value
		case keyEvent:
			e.Name = field.Value
		case keyLevel:
			e.Level = field.Value
		case keyTime:
		default:
			e.Fields = append(e.Fields, field)
		}
	}
	return e, hasHLC
}

// cutField splits the first key=value pair off a line.
func cutField(line string) (Field, string, bool) {
	key, rest, found := strings.Cut(line, "=")
	if !found || key == "" || strings.ContainsAny(key, " \"") {
		return Field{}, "", false
	}
	if !strings.HasPrefix(rest, `"`) {
		value, after, _ := strings.Cut(rest, " ")
		return Field{key, value}, after, true
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return Field{}, "", false
	}
	value, err := strconv.Unquote(quoted)
	return Field{key, value}, rest[len(quoted):], err == nil
}

func parseHLC(text string) (hlc.Timestamp, bool) {
	wall, counter, found := strings.Cut(text, ".")
	ms, wallErr := strconv.ParseInt(wall, 10, 64)
	n, counterErr := strconv.ParseUint(counter, 10, 16)
	if !found || wallErr != nil || counterErr != nil || ms < 0 {
		return 0, false
	}
	return hlc.New(ms, uint16(n)), true
}

func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " \"=\n\t") {
		return strconv.Quote(value)
	}
	return value
}
