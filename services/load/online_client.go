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
	maxRetries     = 3
	retryDelay     = 200 * time.Millisecond
)

// result is the outcome of one online request. Its times count from the start
// of the run unless said otherwise.
type result struct {
	workspace   string
	model       string
	scheduled   time.Duration
	sent        time.Duration
	ended       time.Duration
	firstToken  time.Duration // from the scheduled time to the first token; 0 if none arrived
	tokenGaps   []time.Duration
	status      int    // HTTP status; 0 means no response
	code        string // result code of a failure
	outcome     string
	admitted    bool // not refused by the rate limiter
	rateLimited bool // refused by the rate limiter
	correct     bool // the response is complete and belongs to this request
	wrong       bool // the response looks complete but has the wrong content, or ends early without an error
	retries     int
}

// onlineClient sends online requests the way a client library does and verifies
// the responses.
type onlineClient struct {
	client *fasthttp.Client
	plan   *Plan
	start  time.Time
}

func newOnlineClient(plan *Plan, start time.Time) *onlineClient {
	return &onlineClient{
		plan:  plan,
		start: start,
		client: &fasthttp.Client{
			StreamResponseBody:            true,
			MaxConnsPerHost:               plan.MaxInFlight,
			MaxIdleConnDuration:           30 * time.Second,
			ReadTimeout:                   requestTimeout,
			DisableHeaderNamesNormalizing: false,
			MaxIdemponentCallAttempts:     1, // retries are done and counted by send
		},
	}
}

// chatBody returns a chat request whose expected response depends on the nonce.
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

// send makes one request. If the plan uses idempotency keys, it retries a request
// that got no response, up to maxRetries times.
func (c *onlineClient) send(ctx context.Context, a arrival, gateways []string) result {
	o := c.plan.Online[a.trafficIndex]
	r := result{workspace: o.Workspace, model: o.Model + o.Service, scheduled: a.at, sent: time.Since(c.start)}
	body := chatBody(o.Model, a.nonce, o.MaxTokens, o.Stream)
	for {
		gateway := pickGateway(gateways, a.nonce, r.retries)
		err := c.attempt(&r, o, gateway, body, a.nonce)
		responseLost := err != nil && r.status == 0
		if !responseLost || !c.plan.Idempotency || r.retries == maxRetries || ctx.Err() != nil {
			break
		}
		r.retries++
		pause.For(ctx, retryDelay)
	}
	r.ended = time.Since(c.start)
	return r
}

// pickGateway spreads requests over the gateways by nonce; each retry goes to the
// next gateway.
func pickGateway(gateways []string, nonce uint64, retries int) string {
	return gateways[(nonce+uint64(retries))%uint64(len(gateways))]
}

func (c *onlineClient) attempt(r *result, o OnlineTraffic, gateway string, body []byte, nonce uint64) error {
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
		c.recordRefusal(r, response)
		return nil
	}
	r.admitted = true
	return c.verifyResponse(r, o, response, body)
}

// recordRefusal stores the result code of an error response and whether it came
// from the rate limiter.
func (c *onlineClient) recordRefusal(r *result, response *fasthttp.Response) {
	var e struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(response.Body(), &e)
	r.code, r.outcome = e.Error.Code, e.Error.Outcome
	r.rateLimited = r.code == strconv.Itoa(int(outcome.RateLimited))
	r.admitted = !r.rateLimited
}

// verifyResponse compares a 200 response with the text that the simulated engine
// generates for this request, or with the echoed request for a service.
func (c *onlineClient) verifyResponse(r *result, o OnlineTraffic, response *fasthttp.Response, body []byte) error {
	if o.Service != "" {
		r.correct = strings.Contains(string(response.Body()), "question")
		r.wrong = !r.correct
		r.firstToken = time.Since(c.start) - r.scheduled
		return nil
	}
	expected, err := engine.ExpectedText(body, c.plan.EngineSeed)
	if err != nil {
		return err
	}
	if o.Stream {
		return c.verifyStream(r, response, expected)
	}
	var parsed struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	_ = json.Unmarshal(response.Body(), &parsed)
	r.firstToken = time.Since(c.start) - r.scheduled
	r.correct = len(parsed.Choices) == 1 && parsed.Choices[0].Message.Content == expected
	r.wrong = !r.correct
	return nil
}

func (c *onlineClient) verifyStream(r *result, response *fasthttp.Response, expected string) error {
	stream, err := readStream(response.BodyStream(), time.Now)
	if !stream.firstToken.IsZero() {
		r.firstToken = stream.firstToken.Sub(c.start) - r.scheduled
	}
	r.tokenGaps = stream.tokenGaps
	r.code = stream.errorEvent
	r.correct = stream.done && stream.errorEvent == "" && stream.text.String() == expected
	r.wrong = stream.done && stream.errorEvent == "" && !r.correct
	if !stream.done && stream.errorEvent == "" && err == nil {
		r.wrong = true // the stream ended without [DONE], an error event or a connection error
	}
	return err
}
