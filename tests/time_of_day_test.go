package tests

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readsTimeOfDay matches the calls that turn a time into a time of day, which may
// jump by hours in either direction. Differences of two times.Time values don't.
var readsTimeOfDay = regexp.MustCompile(`\.Unix(Milli|Micro|Nano)?\(\)`)

// timeOfDayUses lists the files that may read the time of day, with what a jump does.
var timeOfDayUses = map[string]string{
	"core/logtime/clock.go":           "the clock of a group approaches it at a bounded rate",
	"infra/telemetry/log.go":          "timestamps of log lines, kept in order by a hybrid logical clock",
	"services/agent/puller/answer.go": "only for leases of control hosts of earlier builds",
	"services/agent/puller/puller.go": "a random-like incarnation",
	"services/engine/completion.go":   "a field of the stand-in's responses",
	"services/engine/engine.go":       "a random-like incarnation of the stand-in",
	"services/load/operator.go":       "a unique id",
	"services/timeline/timeline.go":   "an operator's filter of log lines",
}

// No decision may rest on the time of day: a file that reads it is listed with what
// a jump does there.
func TestTimeOfDayIsReadOnlyWhereListed(t *testing.T) {
	root := ".."
	found := map[string]bool{}
	for _, module := range []string{"core", "infra", "services", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, module), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if readsTimeOfDay.Match(source) {
				relative, err := filepath.Rel(root, path)
				found[filepath.ToSlash(relative)] = true
				return err
			}
			return nil
		})
		require.NoError(t, err)
	}
	for path := range found {
		require.Contains(t, timeOfDayUses, path, "say what a jump of the time of day does there")
	}
	for path := range timeOfDayUses {
		require.True(t, found[path], "%s reads no time of day any more", path)
	}
}
