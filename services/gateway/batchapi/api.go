package batchapi

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/auth"
	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/gateway"
)

const (
	unaryCallTimeout    = 15 * time.Second // one unary call to control, including retries
	transferTimeout     = 30 * time.Minute // one upload or download
	maxRequestJSONBytes = 64 << 10         // largest JSON body of a request to /v1/batches
	defaultPageSize     = 20
	maxPageSize         = 100
)

// Control carries calls to the control replicas, as in package controlclient.
type Control interface {
	// CallIdempotent retries an idempotent call until it succeeds, fails with a
	// permanent error or ctx ends.
	CallIdempotent(ctx context.Context, method wire.Method, request, response any) error
	Open(ctx context.Context, method wire.Method) (*wire.Stream, error)
}

// API serves the file and batch routes. It implements gateway.Mount.
type API struct {
	control       Control
	log           *telemetry.Log
	authenticator gateway.Authenticator
}

var _ gateway.Mount = (*API)(nil)

// New returns an API that keeps its files and jobs in control.
func New(control Control, log *telemetry.Log) *API { return &API{control: control, log: log} }

// requester is the authenticated caller of a request.
type requester struct {
	workspace *bundle.Workspace
	index     *bundle.Index
	key       string // the caller's API key; must not reach a target
}

type handler func(c fiber.Ctx, from requester) error

// Register adds the routes to app.
func (a *API) Register(app fiber.Router, authenticator gateway.Authenticator) {
	a.authenticator = authenticator
	app.Post("/v1/files", a.handle(a.uploadFile))
	app.Get("/v1/files", a.handle(a.listFiles))
	app.Get("/v1/files/:id", a.handle(a.getFileInfo))
	app.Get("/v1/files/:id/content", a.handle(a.downloadFile))
	app.Delete("/v1/files/:id", a.handle(a.deleteFile))
	app.Post("/v1/batches", a.handle(a.createJob))
	app.Get("/v1/batches", a.handle(a.listJobs))
	app.Get("/v1/batches/:id", a.handle(a.getJob))
	app.Post("/v1/batches/:id/cancel", a.handle(a.cancelJob))
}

// handle wraps a handler: it authenticates each request and writes errors in the
// form of the API.
func (a *API) handle(h handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		workspace, index, err := a.authenticator.Authenticate(c)
		if err != nil {
			return httpapi.WriteError(c, err, "")
		}
		key, err := auth.BearerKey(strings.Clone(c.Get(fiber.HeaderAuthorization)))
		if err != nil {
			return httpapi.WriteError(c, err, "")
		}
		if err := h(c, requester{workspace: workspace, index: index, key: key}); err != nil {
			return httpapi.WriteError(c, err, "")
		}
		return nil
	}
}

// call makes a unary call to control. It doesn't end with the caller's request.
func (a *API) call(method wire.Method, request, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), unaryCallTimeout)
	defer cancel()
	return a.control.CallIdempotent(ctx, method, request, response)
}

// pathParam returns a copy of a path parameter that outlives the request.
func pathParam(c fiber.Ctx, name string) string { return strings.Clone(c.Params(name)) }

// pageParams parses the pagination parameters of a list request.
func pageParams(c fiber.Ctx) (after string, limit int, err error) {
	limit = defaultPageSize
	if text := c.Query("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxPageSize {
			return "", 0, outcome.New(outcome.BadRequest, outcome.NotRun, "limit must be between 1 and %d", maxPageSize)
		}
	}
	return strings.Clone(c.Query("after")), limit, nil
}

// readJSON decodes a JSON body of at most maxRequestJSONBytes into out. Unknown
// fields are ignored, because OpenAI clients send fields that this API doesn't
// support.
func readJSON(c fiber.Ctx, out any) error {
	body := c.Request().Body()
	if stream := c.Request().BodyStream(); stream != nil {
		var err error
		if body, err = io.ReadAll(io.LimitReader(stream, maxRequestJSONBytes+1)); err != nil {
			return outcome.New(outcome.CallerGone, outcome.NotRun, "the body did not arrive whole")
		}
	}
	if len(body) > maxRequestJSONBytes {
		return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "the body exceeds %d bytes", maxRequestJSONBytes)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the body is not valid JSON: %v", err)
	}
	return nil
}

// unixSeconds converts Unix milliseconds to Unix seconds. It returns nil, which
// is encoded as null, for 0.
func unixSeconds(ms int64) *int64 {
	if ms == 0 {
		return nil
	}
	s := ms / time.Second.Milliseconds()
	return &s
}
