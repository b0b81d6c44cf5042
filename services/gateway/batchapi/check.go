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
	maxLineOverheadBytes  = 4 << 10 // of an input line in addition to its request body
	maxCustomIDBytes      = 256
	methodPost            = "POST"
)

// modelPaths are the paths whose request body names the model. Items can't use
// other routes without a service, such as those of this package, because targets
// don't serve them.
var modelPaths = []string{"/v1/chat/completions", "/v1/completions"}

// reservedFields are body fields that only the system itself may set. Items that
// contain them are refused.
var reservedFields = []string{"resume_from_tokens"}

// inputValidator validates an input file and builds the item index and the
// request templates of the job.
type inputValidator struct {
	from            requester
	endpoint        string // endpoint that all items must use; "": any
	limits          bundle.Limits
	index           batch.IndexBuilder
	templates       []batch.Template
	templateNumbers map[batch.Template]int
	customIDs       map[string]struct{}
}

func newInputValidator(from requester, endpoint string) *inputValidator {
	return &inputValidator{
		from: from, endpoint: endpoint, limits: from.index.Document().Limits,
		templateNumbers: make(map[batch.Template]int), customIDs: make(map[string]struct{}),
	}
}

func orDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}

// validate checks all lines of a file. The error names the first invalid line.
func (v *inputValidator) validate(r io.Reader) error {
	lines := newLineReader(r, orDefault(v.limits.MaxBodyBytes, defaultMaxBodyBytes)+maxLineOverheadBytes)
	maxItems := orDefault(v.limits.MaxBatchItems, defaultMaxItems)
	for {
		l, err := lines.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if v.index.Count() == maxItems {
			return lineError(l.number, "more than %d items", maxItems)
		}
		if err := v.addLine(l); err != nil {
			return err
		}
	}
	if v.index.Count() == 0 {
		return outcome.New(outcome.BadBatchLine, outcome.NotRun, "the input file has no items")
	}
	return nil
}

func (v *inputValidator) addLine(l line) error {
	var input batch.InputLine
	if err := json.Unmarshal(l.text, &input); err != nil {
		return lineError(l.number, "not a valid JSON object: %v", err)
	}
	if input.CustomID == "" || len(input.CustomID) > maxCustomIDBytes {
		return lineError(l.number, "custom_id must have 1 to %d bytes", maxCustomIDBytes)
	}
	if _, duplicate := v.customIDs[input.CustomID]; duplicate {
		return lineError(l.number, "custom_id %q is used twice", input.CustomID)
	}
	if v.from.key != "" && bytes.Contains(l.text, []byte(v.from.key)) {
		return lineError(l.number, "the line holds the caller's key")
	}
	template, err := v.templateFor(l.number, &input)
	if err != nil {
		return err
	}
	number, err := v.templateNumber(l.number, template)
	if err != nil {
		return err
	}
	v.customIDs[input.CustomID] = struct{}{}
	v.index.Add(uint32(l.offset), uint32(len(l.text)), number)
	return nil
}

func (v *inputValidator) templateNumber(lineNumber int, t batch.Template) (uint8, error) {
	number, known := v.templateNumbers[t]
	if !known {
		number = len(v.templates)
		if number == batch.MaxTemplates {
			return 0, lineError(lineNumber, "more than %d combinations of url and model", batch.MaxTemplates)
		}
		v.templateNumbers[t] = number
		v.templates = append(v.templates, t)
	}
	return uint8(number), nil
}

// templateFor returns the request template for the route and the model of an
// item. It checks that both exist and that the workspace may use the model.
func (v *inputValidator) templateFor(lineNumber int, input *batch.InputLine) (batch.Template, error) {
	noTemplate := batch.Template{}
	if input.Method != methodPost {
		return noTemplate, lineError(lineNumber, "method must be %s", methodPost)
	}
	if v.endpoint != "" && input.URL != v.endpoint {
		return noTemplate, lineError(lineNumber, "url %q is not the endpoint of the batch", input.URL)
	}
	route, ok := v.from.index.Route(input.URL)
	if !ok || !auth.IsCanonicalPath(input.URL) {
		return noTemplate, lineError(lineNumber, "no route matches url %q", input.URL)
	}
	t := batch.Template{Path: input.URL, Method: input.Method, Idempotent: route.Idempotent, TimeoutMS: v.requestTimeout(route).Milliseconds()}
	if route.Service != "" {
		t.Model = route.Service
		t.Path = route.TargetPath(input.URL)
	} else {
		if !slices.Contains(modelPaths, input.URL) {
			return noTemplate, lineError(lineNumber, "url %q is not one that items may use", input.URL)
		}
		model, err := parseModel(lineNumber, input.Body)
		if err != nil {
			return noTemplate, err
		}
		t.Model = model
	}
	declared, ok := v.from.index.Model(t.Model)
	if !ok || (route.Service == "" && declared.Kind != bundle.KindModel) {
		return noTemplate, lineError(lineNumber, "no model %q", t.Model)
	}
	if !v.from.workspace.Allows(t.Model) {
		return noTemplate, lineError(lineNumber, "the workspace may not use %q", t.Model)
	}
	return t, nil
}

func (v *inputValidator) requestTimeout(route *bundle.Route) time.Duration {
	switch {
	case route.Timeout > 0:
		return route.Timeout.Std()
	case v.limits.RequestTimeout > 0:
		return v.limits.RequestTimeout.Std()
	default:
		return defaultRequestTimeout
	}
}

// parseModel returns the model named in a request body. It refuses requests for a
// streamed response, because a batch result is a single document, and requests
// with reserved fields.
func parseModel(lineNumber int, body json.RawMessage) (string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return "", lineError(lineNumber, "body is not a JSON object")
	}
	for _, name := range reservedFields {
		if _, reserved := fields[name]; reserved {
			return "", lineError(lineNumber, "the field %s is reserved", name)
		}
	}
	if stream := bytes.TrimSpace(fields["stream"]); len(stream) > 0 && string(stream) != "false" && string(stream) != "null" {
		return "", lineError(lineNumber, "items cannot be streamed")
	}
	var model string
	if err := json.Unmarshal(fields["model"], &model); err != nil || model == "" {
		return "", lineError(lineNumber, "body has no model")
	}
	return model, nil
}
