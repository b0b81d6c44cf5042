package telemetry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var hlcPattern = regexp.MustCompile(`\bhlc=(\d+\.\d{5})\b`)

func newTestLog(t require.TestingT, level string) (*Log, *bytes.Buffer) {
	var out bytes.Buffer
	l, err := NewLog(Options{Process: "gateway/g1", DataCentre: "riga", Level: level, Output: &out})
	require.NoError(t, err)
	return l, &out
}

func TestEventIsOneLineOfKeyValuePairs(t *testing.T) {
	l, out := newTestLog(t, "")
	l.With("request", "r1").Warn("attempt_failed", "error", errors.New("line\nbreak"), "code", 904)
	line := out.String()
	assert.Equal(t, 1, strings.Count(line, "\n"))
	for _, pair := range []string{"level=warning", "msg=attempt_failed", "process=gateway/g1", "data_centre=riga", "request=r1", `error="line\nbreak"`, "code=904"} {
		assert.Contains(t, line, pair)
	}
	assert.Regexp(t, hlcPattern, line)
}

// Values are escaped, so that a caller's text with line breaks cannot forge an
// event. The hlc stamps rise from line to line.
func TestValuesAreEscapedAndStampsRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, out := newTestLog(t, "")
		values := rapid.SliceOfN(rapid.String(), 1, 8).Draw(t, "values")
		for _, v := range values {
			l.Info("seen", "value", v)
		}
		lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
		require.Len(t, lines, len(values))
		last := ""
		for _, line := range lines {
			m := hlcPattern.FindStringSubmatch(line)
			require.NotNil(t, m, line)
			require.Greater(t, m[1], last)
			last = m[1]
		}
	})
}

func TestLevels(t *testing.T) {
	l, out := newTestLog(t, "warn")
	l.Debug("a")
	l.Info("b")
	assert.Empty(t, out.String())
	l.Error("c")
	assert.Contains(t, out.String(), "msg=c")
	_, err := NewLog(Options{Level: "loud", Output: io.Discard})
	assert.Error(t, err)
	Discard().Error("nothing")
}

// An odd number of key-value arguments is a programming error that must not lose
// the event.
func TestOddPairsKeepTheEvent(t *testing.T) {
	l, out := newTestLog(t, "")
	l.Info("event", "key", 1, "alone")
	assert.Contains(t, out.String(), "msg=event")
	assert.Contains(t, out.String(), "key=1")
}

func TestAdminEndpoints(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", registry).Inc(3)
	notReady := make(chan error, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() {
		assert.NoError(t, ServeAdmin(ctx, l, registry, func() error {
			select {
			case reason := <-notReady:
				return reason
			default:
				return nil
			}
		}))
	})
	defer wg.Wait()
	defer cancel()
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + l.Addr().String() + path)
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(body)
	}
	status, body := get("/healthz")
	assert.Equal(t, http.StatusOK, status, body)
	status, body = get("/metrics")
	assert.Equal(t, http.StatusOK, status)
	assert.JSONEq(t, `{"requests":{"count":3}}`, body)
	notReady <- errors.New("state is stale")
	status, body = get("/readyz")
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Equal(t, "state is stale\n", body)
	status, _ = get("/readyz")
	assert.Equal(t, http.StatusOK, status)
	status, _ = get("/nothing")
	assert.Equal(t, http.StatusNotFound, status)
}
