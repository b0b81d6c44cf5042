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
	callTimeout     = 15 * time.Second // one unary call, retries included
	transferTimeout = 30 * time.Minute // one upload or download
	maxJSONBytes    = 64 << 10         // of a request to /v1/batches
	defaultPage     = 20
	maxPage         = 100
)

// Control carries calls to the control replicas, as in package controlclient.
type Control interface {
	// CallAgain makes an idempotent call until it succeeds, is refused for good
	// or ctx ends.
	CallAgain(ctx context.Context, method wire.Method, request, response any) error
	Open(ctx context.Context, method wire.Method) (*wire.Stream, error)
}

// API is the file and batch routes. It implements gateway.Mount.
type API struct {
	control       Control
	log           *telemetry.Log
	authenticator gateway.Authenticator
}

var _ gateway.Mount = (*API)(nil)

// New returns the routes over control.
func New(control Control, log *telemetry.Log) *API { return &API{control: control, log: log} }

// caller is the authenticated origin of a request.
type caller struct {
	workspace *bundle.Workspace
	index     *bundle.Index
	key       string // must not reach a target
}

type handler func(c fiber.Ctx, who caller) error

// Register adds the routes to app.
func (a *API) Register(app fiber.Router, authenticator gateway.Authenticator) {
	a.authenticator = authenticator
	app.Post("/v1/files", a.handle(a.uploadFile))
	app.Get("/v1/files", a.handle(a.listFiles))
	app.Get("/v1/files/:id", a.handle(a.fileInfo))
	app.Get("/v1/files/:id/content", a.handle(a.fileContent))
	app.Delete("/v1/files/:id", a.handle(a.deleteFile))
	app.Post("/v1/batches", a.handle(a.createJob))
	app.Get("/v1/batches", a.handle(a.listJobs))
	app.Get("/v1/batches/:id", a.handle(a.getJob))
	app.Post("/v1/batches/:id/cancel", a.handle(a.cancelJob))
}

// handle authenticates each request anew and writes errors.
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
		if err := h(c, caller{workspace: workspace, index: index, key: key}); err != nil {
			return httpapi.WriteError(c, err, "")
		}
		return nil
	}
}

// call makes a unary call to control.
func (a *API) call(method wire.Method, request, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return a.control.CallAgain(ctx, method, request, response)
}

// param returns a copy of a path parameter that outlives the request.
func param(c fiber.Ctx, name string) string { return strings.Clone(c.Params(name)) }

// page reads the paging parameters of a list.
func page(c fiber.Ctx) (after string, limit int, err error) {
	limit = defaultPage
	if text := c.Query("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxPage {
			return "", 0, outcome.New(outcome.BadRequest, outcome.NotRun, "limit must be between 1 and %d", maxPage)
		}
	}
	return strings.Clone(c.Query("after")), limit, nil
}

// readJSON reads a small JSON body into out. Unknown fields are ignored, as
// clients send more than this system knows.
func readJSON(c fiber.Ctx, out any) error {
	body := c.Request().Body()
	if stream := c.Request().BodyStream(); stream != nil {
		var err error
		if body, err = io.ReadAll(io.LimitReader(stream, maxJSONBytes+1)); err != nil {
			return outcome.New(outcome.CallerGone, outcome.NotRun, "the body did not arrive whole")
		}
	}
	if len(body) > maxJSONBytes {
		return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "the body exceeds %d bytes", maxJSONBytes)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the body is not valid JSON: %v", err)
	}
	return nil
}

// seconds turns Unix milliseconds into seconds; 0 becomes null.
func seconds(ms int64) *int64 {
	if ms == 0 {
		return nil
	}
	s := ms / time.Second.Milliseconds()
	return &s
}
