package site

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/platform"
)

const (
	takeUpPause = 200 * time.Millisecond // before a caller takes a stream up again
	// versionMark separates the data of an event from the version of the target that
	// brought it.
	versionMark = "@"
)

// callerStream is one stream of a caller, who takes it up again after it broke off.
type callerStream struct {
	site     *Site
	name     string
	events   int64    // of the whole stream
	attempts []string // request ids, in order
	first    string   // the attempt that brought the first event
	last     int64    // id of the last event
	marks    []string // versions that brought events, in the order of their first one
}

// attempt reads events until stop of them have come, the end of the stream, or an
// error. complete reports that the last event has come.
func (c *callerStream) attempt(ctx context.Context, gateway *Host, stop int) (complete bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := fmt.Sprintf("%s.%d", c.name, len(c.attempts))
	c.attempts = append(c.attempts, id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/ask/x", gateway.IP, frontendPort), strings.NewReader(c.name))
	if err != nil {
		return false, err
	}
	headers := platform.HeaderNames()
	request.Host = "site.example"
	request.Header.Set(headers.RequestID, id)
	request.Header.Set(headers.Key, "k1")
	request.Header.Set(headers.Deadline, "5000")
	if c.last > 0 {
		request.Header.Set(headers.LastEventID, strconv.FormatInt(c.last, 10))
		request.Header.Set(headers.Resumes, c.first)
	}
	response, err := c.site.client.Transport.RoundTrip(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false, errors.Newf("status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	for read := 0; lines.Scan(); {
		c.noteMark(lines.Text())
		event, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		if c.last, err = strconv.ParseInt(event, 10, 64); err != nil {
			return false, err
		}
		if c.first == "" {
			c.first = id
		}
		if read++; read == stop {
			return c.last == c.events, nil
		}
	}
	return c.last == c.events, lines.Err()
}

// noteMark notes the version that follows the data of an event, if a line holds one.
func (c *callerStream) noteMark(line string) {
	data, found := strings.CutPrefix(line, "data: ")
	_, mark, marked := strings.Cut(data, versionMark)
	if found && marked && !slices.Contains(c.marks, mark) {
		c.marks = append(c.marks, mark)
	}
}

// finish takes the stream up, at one gateway after the other, until it is complete.
func (c *callerStream) finish(ctx context.Context, number, tries int) bool {
	gateways := c.site.Role(Gateway)
	for try := range tries {
		if complete, _ := c.attempt(ctx, gateways[(number+try)%len(gateways)], 0); complete {
			return true
		}
		time.Sleep(takeUpPause)
	}
	return false
}
