package tests

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	proofsEntry = regexp.MustCompile("`([a-z/]+)` ([^`]*)")
	testName    = regexp.MustCompile(`Test[A-Za-z0-9]+`)
)

// Every test that docs/PROOFS.md names must exist in the package it names.
func TestProofsPageNamesExistingTests(t *testing.T) {
	page, err := os.ReadFile("../docs/PROOFS.md")
	require.NoError(t, err)
	_, table, found := strings.Cut(string(page), "| --- |")
	require.True(t, found)
	checked := 0
	for _, entry := range proofsEntry.FindAllStringSubmatch(table, -1) {
		source := testSource(t, entry[1])
		for _, name := range testName.FindAllString(entry[2], -1) {
			assert.Contains(t, source, "func "+name+"(", "%s", entry[1])
			checked++
		}
	}
	assert.Greater(t, checked, 40)
}

// testSource returns the concatenated test files of a package.
func testSource(t *testing.T, pkg string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", pkg, "*_test.go"))
	require.NoError(t, err)
	require.NotEmpty(t, files, pkg)
	var source strings.Builder
	for _, file := range files {
		content, err := os.ReadFile(file)
		require.NoError(t, err)
		source.Write(content)
	}
	return source.String()
}

var (
	metricInCode = regexp.MustCompile(`(?:GetOrRegister(?:Counter|Gauge|Meter|Histogram|)|NewLatency)\("([a-z._]+)"`)
	metricInPage = regexp.MustCompile("(?m)^\\| `([a-z._]+)` \\|")
)

// docs/METRICS.md lists exactly the metrics that the code of the site programs
// registers.
func TestMetricsPageListsAllMetrics(t *testing.T) {
	var code []string
	for _, pkg := range []string{"director", "entry", "jobhost", "targetcall", "replicated", "follow"} {
		files, err := filepath.Glob(filepath.Join("..", "services", pkg, "*.go"))
		require.NoError(t, err)
		require.NotEmpty(t, files, pkg)
		for _, file := range files {
			content, err := os.ReadFile(file)
			require.NoError(t, err)
			code = append(code, submatches(metricInCode, content)...)
		}
	}
	page, err := os.ReadFile("../docs/METRICS.md")
	require.NoError(t, err)
	assert.ElementsMatch(t, code, submatches(metricInPage, page))
}

// submatches returns the first group of every match.
func submatches(pattern *regexp.Regexp, content []byte) []string {
	var found []string
	for _, match := range pattern.FindAllSubmatch(content, -1) {
		found = append(found, string(match[1]))
	}
	return found
}
