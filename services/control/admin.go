package control

import (
	"context"
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/rpc"
)

// AdminPrefix is the path prefix of the admin API.
const AdminPrefix = "/admin/v1"

// maxAdminBodyBytes is enough for the base64 encoding of a bundle of
// bundle.MaxSourceBytes.
const maxAdminBodyBytes = 2 * bundle.MaxSourceBytes

// admin serves the HTTP API for operators.
type admin struct {
	server *Server
}

// CommandResponse is the response to an operator's command.
type CommandResponse struct {
	RequestID string `json:"request_id"`
	Revision  uint64 `json:"revision"`
	Version   uint64 `json:"version,omitempty"` // of the bundle that was rolled out
	Digest    string `json:"digest,omitempty"`
}

// OrderRequest is the request body of an order to a target.
type OrderRequest struct {
	Kind  rpc.OrderKind `json:"kind"`
	Value string        `json:"value"`
}

// OrderResponse is the response to an order to a target.
type OrderResponse struct {
	RequestID string               `json:"request_id"`
	Fence     uint64               `json:"fence"`
	Error     *httpapi.ErrorDetail `json:"error,omitempty"` // from the target's agent
}

// CurrentBundle is the active bundle.
type CurrentBundle struct {
	fleet.HistoryEntry
	Signed bundle.Signed `json:"signed"`
}

// History lists the bundles that have been activated, newest first.
type History struct {
	Bundles []fleet.HistoryEntry `json:"bundles"`
}

// ServeAdmin serves the admin API on l until ctx ends.
func (s *Server) ServeAdmin(ctx context.Context, l net.Listener) error {
	api := &admin{server: s}
	app := fiber.New(fiber.Config{
		AppName:   "banyan-control",
		BodyLimit: maxAdminBodyBytes,
		Immutable: true,
		ErrorHandler: func(c fiber.Ctx, err error) error {
			return httpapi.WriteError(c, requestError(err), "")
		},
	})
	api.register(app)
	return httpapi.Serve(ctx, app, l, adminShutdownTimeout)
}

// requestError converts an error of the HTTP library into one with a result
// code.
func requestError(err error) *outcome.Error {
	if errors.Is(err, fiber.ErrRequestEntityTooLarge) {
		return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "the body exceeds %d bytes", maxAdminBodyBytes)
	}
	return outcome.New(outcome.BadRequest, outcome.NotRun, "%v", err)
}

func (a *admin) register(app *fiber.App) {
	v1 := app.Group(AdminPrefix, a.authenticate)
	v1.Post("/bundles", a.handle(a.roll))
	v1.Get("/bundles/current", a.handle(a.currentBundle))
	v1.Get("/bundles/history", a.handle(a.history))
	v1.Post("/data-centres/:name/out", a.handle(a.markDataCentre(true)))
	v1.Post("/data-centres/:name/in", a.handle(a.markDataCentre(false)))
	v1.Post("/targets/:agent/:name/out", a.handle(a.markTarget(true)))
	v1.Post("/targets/:agent/:name/in", a.handle(a.markTarget(false)))
	v1.Post("/targets/:agent/:name/orders", a.handle(a.sendOrder))
	v1.Get("/status", a.handle(a.status))
	app.Use(func(c fiber.Ctx) error {
		return httpapi.WriteError(c, outcome.New(outcome.UnknownRoute, outcome.NotRun, "no route %s", c.Path()), "")
	})
}

// handle runs a call with a timeout and writes its response or error.
func (a *admin) handle(call func(ctx context.Context, c fiber.Ctx) (any, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(c.Context(), forwardTimeout)
		defer cancel()
		response, err := call(ctx, c)
		if err != nil {
			return httpapi.WriteError(c, err, requestKey(c).RequestID)
		}
		return c.JSON(response)
	}
}

func (a *admin) roll(ctx context.Context, c fiber.Ctx) (any, error) {
	request := &rpc.RollRequest{Key: requestKey(c)}
	if err := decodeBody(c, &request.Signed); err != nil {
		return nil, err
	}
	result, err := a.server.operatorCalls.roll(ctx, request)
	return commandResponse(request.Key, result, err)
}

func (a *admin) markDataCentre(out bool) func(ctx context.Context, c fiber.Ctx) (any, error) {
	return func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.mark(ctx, requestKey(c), fleet.SetMark{DataCentre: c.Params("name"), Out: out})
	}
}

func (a *admin) markTarget(out bool) func(ctx context.Context, c fiber.Ctx) (any, error) {
	return func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.mark(ctx, requestKey(c), fleet.SetMark{Target: targetID(c), Out: out})
	}
}

func (a *admin) mark(ctx context.Context, key rpc.RequestKey, mark fleet.SetMark) (any, error) {
	result, err := a.server.operatorCalls.mark(ctx, &rpc.MarkRequest{Key: key, Mark: mark})
	return commandResponse(key, result, err)
}

func (a *admin) sendOrder(ctx context.Context, c fiber.Ctx) (any, error) {
	var body OrderRequest
	if err := decodeBody(c, &body); err != nil {
		return nil, err
	}
	key := requestKey(c)
	request := &rpc.FencedOrderRequest{Key: key, Target: targetID(c), Kind: body.Kind, Value: body.Value}
	fenced, err := a.server.operatorCalls.order(ctx, request)
	if err != nil {
		return nil, err
	}
	response := OrderResponse{RequestID: key.RequestID, Fence: fenced.Fence}
	if fenced.Error != nil {
		detail := httpapi.NewErrorBody(fenced.Error, key.RequestID).Error
		response.Error = &detail
	}
	return response, nil
}

func (a *admin) currentBundle(ctx context.Context, _ fiber.Ctx) (any, error) {
	if err := a.server.confirm(ctx); err != nil {
		return nil, err
	}
	var current CurrentBundle
	found := false
	a.server.configState.read(func(m *fleet.Machine) {
		if current.HistoryEntry, found = m.Current(); found {
			current.Signed = *m.SignedBundle()
		}
	})
	if !found {
		return nil, outcome.New(outcome.UnknownName, outcome.NotRun, "no bundle has been rolled yet")
	}
	return current, nil
}

func (a *admin) history(ctx context.Context, _ fiber.Ctx) (any, error) {
	if err := a.server.confirm(ctx); err != nil {
		return nil, err
	}
	history := History{Bundles: []fleet.HistoryEntry{}}
	a.server.configState.read(func(m *fleet.Machine) {
		entries := m.History()
		for i := range entries {
			history.Bundles = append(history.Bundles, entries[len(entries)-1-i])
		}
	})
	return history, nil
}

func targetID(c fiber.Ctx) fleet.TargetID {
	return fleet.TargetID(c.Params("agent") + "/" + c.Params("name"))
}

func decodeBody(c fiber.Ctx, out any) error {
	if err := json.Unmarshal(c.Body(), out); err != nil {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the body is not the expected JSON: %v", err)
	}
	return nil
}

func commandResponse(key rpc.RequestKey, result *fleet.Result, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return CommandResponse{RequestID: key.RequestID, Revision: result.Revision, Version: result.Version, Digest: result.Digest}, nil
}
