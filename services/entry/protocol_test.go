package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/services/standin"
)

// exchange sends raw bytes to the gateway and returns its response.
func (f *fixture) exchange(raw string) (responseHead, string) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(f.t, err)
	defer conn.Close()
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(conn, raw)
	require.NoError(f.t, err)
	method, _, _ := strings.Cut(raw, " ")
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	require.NoError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return responseHead{response.StatusCode, response.Header, response.Close}, string(body)
}

// rawRequest returns a request with a body and further header lines.
func rawRequest(method, target, body string, headers ...string) string {
	lines := append([]string{method + " " + target + " HTTP/1.1", "Host: " + routeHost, "X-Id: a", "X-Key: k1",
		fmt.Sprint("Content-Length: ", len(body))}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// Method, path and query reach the target as the caller sent them.
func TestUnusualRequestLinesReachTargetUnchanged(t *testing.T) {
	for _, method := range []string{"POST", "PUT", "PATCH", "DELETE", "GET", "HEAD", "OPTIONS"} {
		for _, target := range []string{"/safe/a%2Fb", "/safe/a/../b", "/safe//b", "/safe/./b/", "/safe/a?x=%20&y=a+b&x=", "/safe/%C3%A9", "/safe/a;b=c", "/safe/a?"} {
			t.Run(method+" "+target, func(t *testing.T) {
				f := newFixture(t, standin.Behaviour{})
				response, _ := f.exchange(rawRequest(method, target, ""))
				assert.Equal(t, http.StatusOK, response.StatusCode)
				runs := f.allRuns()
				require.Len(t, runs, 1)
				assert.Equal(t, target, runs[0].URI)
			})
		}
	}
}

// The largest header that the users' configurations allow.
func TestLargeHeaderIsForwarded(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	large := strings.Repeat("a:100,", 2500)
	response, _ := f.exchange(rawRequest("POST", "/safe/x", "body", "X-Parts: "+large))
	assert.Equal(t, http.StatusOK, response.StatusCode)
	runs := f.allRuns()
	require.Len(t, runs, 1)
	assert.Equal(t, large, runs[0].Header.Get("X-Parts"))
}

// A caller that waits for 100 Continue gets it, and is answered.
func TestCallerThatExpectsContinue(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	conn, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	head, body, _ := strings.Cut(rawRequest("POST", "/safe/x", "body", "Expect: 100-continue"), "\r\n\r\n")
	_, err = io.WriteString(conn, head+"\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusContinue, response.StatusCode)
	_, err = io.WriteString(conn, body)
	require.NoError(t, err)
	response, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "body", f.allRuns()[0].Body)
}

// Headers of model engines that the gateway does not use reach the target, and their
// responses the caller.
func TestEngineHeadersAreForwarded(t *testing.T) {
	f := newFixture(t, standin.Behaviour{})
	headers := []string{"X-Model: m", "X-Pin: 3000", "X-Hold: h-1", "Kv-From: 10.0.0.1:80/h", "X-Length-Hint: 40"}
	response, _ := f.exchange(rawRequest("POST", "/safe/x", "body", headers...))
	require.Equal(t, http.StatusOK, response.StatusCode)
	got := f.allRuns()[0].Header
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		assert.Equal(t, value, got.Get(name), name)
	}
}

// Callers ask for bodies without any encoding; a response that has one is not the
// target's body.
func TestEncodedResponseIsNotPassedOn(t *testing.T) {
	for path, want := range map[string]int{"/safe/x": http.StatusOK, "/once/x": http.StatusBadGateway} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, standin.Behaviour{ContentEncoding: "gzip"}, standin.Behaviour{})
			f.targets[1].SetBehaviour(func(string) standin.Behaviour {
				if path == "/once/x" {
					return standin.Behaviour{ContentEncoding: "gzip"}
				}
				return standin.Behaviour{}
			})
			response, body := f.exchange(rawRequest("POST", path, "body"))
			assert.Equal(t, want, response.StatusCode)
			assert.Empty(t, response.Header.Get("Content-Encoding"))
			if want == http.StatusOK {
				assert.Equal(t, standin.ResponseBody("a"), body)
			}
		})
	}
}

// A target that serves another version of its weights refuses with 421 and has not
// run the request; another target gets it.
func TestRequestForAnotherVersionGoesElsewhere(t *testing.T) {
	f := newFixture(t, standin.Behaviour{Status: http.StatusMisdirectedRequest, Refuse: true}, standin.Behaviour{}, standin.Behaviour{})
	for n := range 6 {
		response, _ := f.exchange(rawRequest("POST", "/once/x", fmt.Sprint("body ", n)))
		assert.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// deadlines returns the deadline that each run was sent with, in milliseconds.
func (f *fixture) deadlines() []int {
	f.t.Helper()
	var all []int
	for _, run := range f.allRuns() {
		left, err := strconv.Atoi(run.Header.Get("X-Deadline"))
		require.NoError(f.t, err, "each send names a deadline")
		all = append(all, left)
	}
	slices.Sort(all)
	return all
}

// A target is never handed more time than is left: of the caller's deadline, of the
// route's timeout, and of both after a failed attempt.
func TestTargetsGetTheTimeThatIsLeft(t *testing.T) {
	const pause = 300 * time.Millisecond
	for name, test := range map[string]struct {
		path, header string
		first        standin.Behaviour
		most         int // milliseconds
	}{
		"caller's deadline":         {"/safe/x", "X-Deadline: 5000", standin.Behaviour{}, 5000},
		"no deadline":               {"/safe/x", "X-Other: 1", standin.Behaviour{}, int(waitTimeout.Milliseconds())},
		"unreadable deadline":       {"/safe/x", "X-Deadline: soon", standin.Behaviour{}, int(waitTimeout.Milliseconds())},
		"deadline beyond the route": {"/safe/x", "X-Deadline: 90000", standin.Behaviour{}, int(waitTimeout.Milliseconds())},
		"second attempt":            {"/safe/x", "X-Deadline: 5000", standin.Behaviour{CrashInAnswer: true, Pause: pause}, 5000},
		"resumed stream":            {"/resume/x", "X-Deadline: 5000", standin.Behaviour{Events: 4, BreakAfter: 2, Pause: pause / 2}, 5000},
	} {
		t.Run(name, func(t *testing.T) {
			second := standin.Behaviour{Events: test.first.Events}
			f := newFixture(t, second, second)
			var sent atomic.Int32
			for _, target := range f.targets {
				target.SetBehaviour(func(string) standin.Behaviour {
					if sent.Add(1) == 1 {
						return test.first
					}
					return second
				})
			}
			response, _ := f.exchange(rawRequest("POST", test.path, "body", test.header))
			require.Equal(t, http.StatusOK, response.StatusCode)
			deadlines := f.deadlines()
			assert.LessOrEqual(t, deadlines[len(deadlines)-1], test.most)
			if len(deadlines) == 2 {
				assert.LessOrEqual(t, deadlines[0], test.most-int(pause.Milliseconds()))
			}
			if test.first.Pause > 0 {
				assert.Len(t, deadlines, 2)
			}
		})
	}
}
