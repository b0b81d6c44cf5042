package outcome

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCodesAreSortedUniqueAndDocumented(t *testing.T) {
	names := make(map[string]bool)
	last := Code(0)
	for _, e := range Entries() {
		assert.Greater(t, e.Code, last)
		assert.False(t, names[e.Name], e.Name)
		assert.NotEmpty(t, e.Cause)
		assert.NotEmpty(t, e.Remedy)
		assert.GreaterOrEqual(t, e.HTTP, http.StatusBadRequest)
		names[e.Name], last = true, e.Code
	}
}

// TestResultCodesPageEqualsTable checks the generated page docs/RESULT_CODES.md.
// UPDATE_DOCS=1 go test ./core/outcome regenerates it.
func TestResultCodesPageEqualsTable(t *testing.T) {
	const path = "../../docs/RESULT_CODES.md"
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery refusal and failure carries one of these numbers with an outcome (`not_run`, `may_have_run`, `ran`)\nand, where waiting helps, Retry-After. Numbers are never reused.\n\n")
	b.WriteString("| code | name | HTTP | cause | remedy |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range Entries() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s |\n", e.Code, e.Name, e.HTTP, e.Cause, e.Remedy)
	}
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o644))
	}
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, b.String(), string(page))
}

func TestFromKeepsOrWeakens(t *testing.T) {
	e := New(TargetBusy, NotRun, "full")
	assert.Same(t, e, From(errors.Wrap(e, "outer")))
	assert.Equal(t, MayHaveRun, From(errors.New("other")).Outcome)
	assert.True(t, IsCode(errors.Wrap(e, "outer"), TargetBusy))
}
