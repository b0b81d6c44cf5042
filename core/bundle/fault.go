package bundle

import (
	"fmt"
	"strings"

	"banyanwalk/core/outcome"
)

// Fault is a validation error of a document.
type Fault struct {
	Line    int    `json:"line"` // of the source, from 1; 0: the document as a whole
	Path    string `json:"path"` // of the field, such as workspaces[2].rate
	Message string `json:"message"`
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Message)
}

// FaultsError returns a BundleInvalid error that lists all faults, one per line.
func FaultsError(faults []Fault) *outcome.Error {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return outcome.New(outcome.BundleInvalid, outcome.NotRun, "%d faults\n%s", len(faults), strings.Join(lines, "\n"))
}
