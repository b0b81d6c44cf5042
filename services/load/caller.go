package load

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/pause"
	"banyanwalk/services/engine"
)

const (
	requestTimeout = 60 * time.Second
	maxResends     = 3
	resendPause    = 200 * time.Millisecond
)

// result is what one online request came to.
type result struct {
	workspace string
	model     string
	scheduled time.Duration
	sent      time.Duration
	ended     time.Duration
	firstByte time.Duration // from the scheduled time to the first token; 0 none
	gaps      []time.Duration
	status    int    // HTTP status; 0: no answer
	code      string // numbered result code of a failure
	outcome   string
	admitted  bool // not refused by the limiter
	limited   bool // refused by the limiter
	whole     bool // complete and its own
	wrong     bool // complete-looking but not its own, or silently short
	resends   int
}

// caller sends requests as a client library would.
type caller struct {
	client *fasthttp.Client
	plan   *Plan
	start  time.Time
}

func newCaller(p *Plan, start time.Time) *caller {
	return &caller{
		plan:  p,
		start: start,
		client: &fasthttp.Client{
			StreamResponseBody:            true,
			MaxConnsPerHost:               p.MaxInFlight,
			MaxIdleConnDuration:           30 * time.Second,
			ReadTimeout:                   requestTimeout,
			DisableHeaderNamesNormalizing: false,
			MaxIdemponentCallAttempts:     1, // resends are ours to count
		},
	}
}

// chatBody returns a request whose answer depends on the nonce.
func chatBody(model string, nonce uint64, maxTokens int, stream bool) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, _ := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
		Stream    bool      `json:"stream"`
	}{model, []message{{"user", fmt.Sprintf("question %x", nonce)}}, maxTokens, stream})
	return body
}

// send makes one request, with resends after lost answers where the plan
// says so.
func (c *caller) send(ctx context.Context, a arrival, gateways []string) result {
	o := c.plan.Online[a.stream]
	r := result{workspace: o.Workspace, model: o.Model + o.Service, scheduled: a.at, sent: time.Since(c.start)}
	body := chatBody(o.Model, a.nonce, o.MaxTokens, o.Stream)
	for {
		gateway := pick(gateways, a.nonce, r.resends)
		err := c.attempt(&r, o, gateway, body, a.nonce)
		lost := err != nil && r.status == 0
		if !lost || !c.plan.Idempotency || r.resends == maxResends || ctx.Err() != nil {
			break
		}
		r.resends++
		pause.For(ctx, resendPause)
	}
	r.ended = time.Since(c.start)
	return r
}

// pick spreads requests over gateways; each resend goes to the next one.
func pick(gateways []string, nonce uint64, resends int) string {
	return gateways[(nonce+uint64(resends))%uint64(len(gateways))]
}

func (c *caller) attempt(r *result, o Online, gateway string, body []byte, nonce uint64) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	path := "/v1/chat/completions"
	if o.Service != "" {
		path = "/v1/services/" + o.Service
	}
	request.SetRequestURI(gateway + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer "+o.Key)
	if c.plan.Idempotency {
		request.Header.Set("Idempotency-Key", strconv.FormatUint(nonce, 16))
	}
	request.SetBody(body)
	if err := c.client.DoTimeout(request, response, requestTimeout); err != nil {
		return err
	}
	r.status = response.StatusCode()
	if r.status != fasthttp.StatusOK {
		c.refused(r, response)
		return nil
	}
	r.admitted = true
	return c.read(r, o, response, body)
}

func (c *caller) refused(r *result, response *fasthttp.Response) {
	var e struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(response.Body(), &e)
	r.code, r.outcome = e.Error.Code, e.Error.Outcome
	r.limited = r.code == strconv.Itoa(int(outcome.RateLimited))
	r.admitted = !r.limited
}

func (c *caller) read(r *result, o Online, response *fasthttp.Response, body []byte) error {
	if o.Service != "" {
		r.whole = strings.Contains(string(response.Body()), "question")
		r.wrong = !r.whole
		r.firstByte = time.Since(c.start) - r.scheduled
		return nil
	}
	expected, err := engine.ExpectedText(body, c.plan.EngineSeed)
	if err != nil {
		return err
	}
	if o.Stream {
		return c.readStreamed(r, response, expected)
	}
	var whole struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	_ = json.Unmarshal(response.Body(), &whole)
	r.firstByte = time.Since(c.start) - r.scheduled
	r.whole = len(whole.Choices) == 1 && whole.Choices[0].Message.Content == expected
	r.wrong = !r.whole
	return nil
}

func (c *caller) readStreamed(r *result, response *fasthttp.Response, expected string) error {
	s, err := readStream(response.BodyStream(), time.Now)
	if !s.first.IsZero() {
		r.firstByte = s.first.Sub(c.start) - r.scheduled
	}
	r.gaps = s.gaps
	r.code = s.errorEvent
	r.whole = s.done && s.errorEvent == "" && s.text.String() == expected
	r.wrong = s.done && s.errorEvent == "" && !r.whole
	if !s.done && s.errorEvent == "" && err == nil {
		r.wrong = true // ended short without a word
	}
	return err
}
