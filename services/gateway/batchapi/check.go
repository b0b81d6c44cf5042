package batchapi

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/auth"
	"banyanwalk/core/batch"
	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
)

const (
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxItems       = 82_000
	defaultRequestTimeout = 60 * time.Second
	lineOverheadBytes     = 4 << 10 // of a line beside the body of its request
	maxCustomIDBytes      = 256
	methodPost            = "POST"
)

// modelPaths are the paths whose body names the model. Other routes without a
// service, such as those of this package, are no work for a target.
var modelPaths = []string{"/v1/chat/completions", "/v1/completions"}

// reservedFields are set by the system itself and refused in the body of an
// item.
var reservedFields = []string{"resume_from_tokens"}

// checker turns an input file into the index of a job.
type checker struct {
	who       caller
	endpoint  string // "": any route
	limits    bundle.Limits
	index     batch.IndexBuilder
	templates []batch.Template
	numbers   map[batch.Template]int
	ids       map[string]struct{}
}

func newChecker(who caller, endpoint string) *checker {
	return &checker{
		who: who, endpoint: endpoint, limits: who.index.Document().Limits,
		numbers: make(map[batch.Template]int), ids: make(map[string]struct{}),
	}
}

func orDefault(n, otherwise int) int {
	if n > 0 {
		return n
	}
	return otherwise
}

// read checks all lines of a file. The error names the first line at fault.
func (k *checker) read(r io.Reader) error {
	lines := newLineReader(r, orDefault(k.limits.MaxBodyBytes, defaultMaxBodyBytes)+lineOverheadBytes)
	maxItems := orDefault(k.limits.MaxBatchItems, defaultMaxItems)
	for {
		l, err := lines.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if k.index.Count() == maxItems {
			return badLine(l.number, "more than %d items", maxItems)
		}
		if err := k.add(l); err != nil {
			return err
		}
	}
	if k.index.Count() == 0 {
		return outcome.New(outcome.BadBatchLine, outcome.NotRun, "the input file has no items")
	}
	return nil
}

func (k *checker) add(l line) error {
	var in batch.InputLine
	if err := json.Unmarshal(l.text, &in); err != nil {
		return badLine(l.number, "not a valid JSON object: %v", err)
	}
	if in.CustomID == "" || len(in.CustomID) > maxCustomIDBytes {
		return badLine(l.number, "custom_id must have 1 to %d bytes", maxCustomIDBytes)
	}
	if _, taken := k.ids[in.CustomID]; taken {
		return badLine(l.number, "custom_id %q is used twice", in.CustomID)
	}
	if k.who.key != "" && bytes.Contains(l.text, []byte(k.who.key)) {
		return badLine(l.number, "the line holds the caller's key")
	}
	template, err := k.template(l.number, &in)
	if err != nil {
		return err
	}
	number, err := k.numberOf(l.number, template)
	if err != nil {
		return err
	}
	k.ids[in.CustomID] = struct{}{}
	k.index.Add(uint32(l.offset), uint32(len(l.text)), number)
	return nil
}

func (k *checker) numberOf(lineNumber int, t batch.Template) (uint8, error) {
	number, known := k.numbers[t]
	if !known {
		number = len(k.templates)
		if number == batch.MaxTemplates {
			return 0, badLine(lineNumber, "more than %d combinations of url and model", batch.MaxTemplates)
		}
		k.numbers[t] = number
		k.templates = append(k.templates, t)
	}
	return uint8(number), nil
}

// template finds the route and the model of an item and checks that the
// workspace may use them.
func (k *checker) template(number int, in *batch.InputLine) (batch.Template, error) {
	none := batch.Template{}
	if in.Method != methodPost {
		return none, badLine(number, "method must be %s", methodPost)
	}
	if k.endpoint != "" && in.URL != k.endpoint {
		return none, badLine(number, "url %q is not the endpoint of the batch", in.URL)
	}
	route, ok := k.who.index.Route(in.URL)
	if !ok || !auth.IsCanonicalPath(in.URL) {
		return none, badLine(number, "no route matches url %q", in.URL)
	}
	t := batch.Template{Path: in.URL, Method: in.Method, Idempotent: route.Idempotent, TimeoutMS: k.timeout(route).Milliseconds()}
	if route.Service != "" {
		t.Model = route.Service
		t.Path = route.TargetPath(in.URL)
	} else {
		if !slices.Contains(modelPaths, in.URL) {
			return none, badLine(number, "url %q is not one that items may use", in.URL)
		}
		model, err := readModel(number, in.Body)
		if err != nil {
			return none, err
		}
		t.Model = model
	}
	m, ok := k.who.index.Model(t.Model)
	if !ok || (route.Service == "" && m.Kind != bundle.KindModel) {
		return none, badLine(number, "no model %q", t.Model)
	}
	if !k.who.workspace.Allows(t.Model) {
		return none, badLine(number, "the workspace may not use %q", t.Model)
	}
	return t, nil
}

func (k *checker) timeout(route *bundle.Route) time.Duration {
	switch {
	case route.Timeout > 0:
		return route.Timeout.Std()
	case k.limits.RequestTimeout > 0:
		return k.limits.RequestTimeout.Std()
	default:
		return defaultRequestTimeout
	}
}

// readModel reads the model of a request. Answers of items are documents, so
// streamed ones are refused.
func readModel(number int, body json.RawMessage) (string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return "", badLine(number, "body is not a JSON object")
	}
	for _, name := range reservedFields {
		if _, reserved := fields[name]; reserved {
			return "", badLine(number, "the field %s is reserved", name)
		}
	}
	if stream := bytes.TrimSpace(fields["stream"]); len(stream) > 0 && string(stream) != "false" && string(stream) != "null" {
		return "", badLine(number, "items cannot be streamed")
	}
	var model string
	if err := json.Unmarshal(fields["model"], &model); err != nil || model == "" {
		return "", badLine(number, "body has no model")
	}
	return model, nil
}
