package targetcall

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Targets state in whole seconds how long they keep an idle connection open; ours are
// closed before that.
func TestIdleTimeoutIsBelowThatOfTarget(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5":                5*time.Second - idleMargin,
		"timeout=1":                time.Second - idleMargin,
		"max=100, timeout=7":       7*time.Second - idleMargin,
		"Timeout=3 , max=9":        3*time.Second - idleMargin,
		"timeout=0":                0,
		"timeout=-4":               0,
		"timeout=soon":             0,
		"max=100":                  0,
		"":                         0,
		"timeout = 5, max = 1,,;=": 0,
	} {
		header := http.Header{}
		header.Set("Keep-Alive", value)
		assert.Equal(t, want, idleTimeout(header), value)
	}
}
