package targetcall

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/outcome"
	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
)

// noObserver ignores what targets say of themselves.
type noObserver struct{}

func (noObserver) ObserveLimit(time.Time, *roster.Record, float64)             {}
func (noObserver) ObserveLeaving(time.Time, *roster.Record)                    {}
func (noObserver) ObserveLoad(time.Time, *roster.Record, placement.TargetLoad) {}
func (noObserver) ObserveMalformedLoad(time.Time, *roster.Record, string)      {}

const (
	refusal = "HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	success = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"
)

// faultyTarget refuses the first request on each connection, and runs the later ones. It
// writes the refusal once more, with the given identity, before or behind the next answer, or
// while the connection is idle.
func faultyTarget(t *testing.T, identity func(refused string) string, when string) (addr string, runs chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	runs = make(chan string, 16)
	var wg conc.WaitGroup
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			stop := context.AfterFunc(t.Context(), func() { conn.Close() })
			wg.Go(func() {
				defer stop()
				serveFaulty(conn, identity, when, runs)
			})
		}
	})
	return l.Addr().String(), runs
}

func serveFaulty(conn net.Conn, identity func(refused string) string, when string, runs chan<- string) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	first := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Id")
		if first == "" {
			first = id
			fmt.Fprintf(conn, refusal, "X-Id: "+id+"\r\n")
			if when == "idle" {
				time.Sleep(20 * time.Millisecond)
				fmt.Fprintf(conn, refusal, header(identity(first)))
			}
			continue
		}
		runs <- id
		repeated := fmt.Sprintf(refusal, header(identity(first)))
		answer := fmt.Sprintf(success, id)
		switch when {
		case "before":
			fmt.Fprint(conn, repeated)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(conn, answer)
		case "with":
			fmt.Fprint(conn, answer+repeated)
		default:
			fmt.Fprint(conn, answer)
		}
	}
}

func header(id string) string {
	if id == "" {
		return ""
	}
	return "X-Id: " + id + "\r\n"
}

// Report REFUSED, TWICE of issue 37: a faulty target writes an earlier refusal once more on
// a kept connection. A request that it runs must not seem refused, whatever identity
// the repetition bears and whenever it comes, also if the request has the id of the refused
// one, as items of jobs that run again have.
func TestRepeatedRefusalIsNotTaken(t *testing.T) {
	for identityName, identity := range map[string]func(refused string) string{
		"missing":   func(string) string { return "" },
		"equal":     func(refused string) string { return refused }, // to that of a request with the same id
		"another's": func(string) string { return "of-another-caller" },
	} {
		for _, when := range []string{"idle", "before", "with"} {
			for _, again := range []string{"same id", "another id"} {
				t.Run(fmt.Sprintf("identity %s, %s, %s", identityName, when, again), func(t *testing.T) {
					t.Parallel()
					addr, runs := faultyTarget(t, identity, when)
					c := NewClient(HeaderNames{RequestID: "X-Id", NotRun: "X-Not-Run", Signature: "X-Signature"}, noObserver{}, metrics.NewRegistry())
					target := &roster.Record{Report: roster.Report{ID: "t", Addr: addr}}
					send := func(id string) *Failure {
						response, err := c.Do(t.Context(), target, &Request{Method: http.MethodPost, URI: "/", Host: "h", ID: id, Deadline: time.Now().Add(5 * time.Second)})
						if err != nil {
							var failure *Failure
							require.True(t, errors.As(err, &failure))
							return failure
						}
						response.drain()
						response.Close()
						return nil
					}
					failure := send("first")
					require.Equal(t, outcome.NotRun, failure.Outcome)
					time.Sleep(40 * time.Millisecond)
					id := "second"
					if again == "same id" {
						id = "first"
					}
					for range 3 {
						failure := send(id)
						ran := len(runs) > 0
						if failure != nil && ran {
							assert.Equal(t, outcome.MayHaveRun, failure.Outcome, failure)
						}
						for len(runs) > 0 {
							<-runs
						}
						time.Sleep(30 * time.Millisecond)
					}
				})
			}
		}
	}
}
