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

// AdminPrefix is the path under which the operators' calls stand.
const AdminPrefix = "/admin/v1"

// maxAdminBodyBytes holds a bundle of bundle.MaxSourceBytes in base64.
const maxAdminBodyBytes = 2 * bundle.MaxSourceBytes

// admin serves the operators' HTTP.
type admin struct {
	server *Server
}

// CommandAnswer answers an operator's command.
type CommandAnswer struct {
	RequestID string `json:"request_id"`
	Revision  uint64 `json:"revision"`
	Version   uint64 `json:"version,omitempty"` // of a rolled bundle
	Digest    string `json:"digest,omitempty"`
}

// OrderBody is the body of an order to a target.
type OrderBody struct {
	Kind  rpc.OrderKind `json:"kind"`
	Value string        `json:"value"`
}

// OrderAnswer answers an order to a target.
type OrderAnswer struct {
	RequestID string               `json:"request_id"`
	Fence     uint64               `json:"fence"`
	Error     *httpapi.ErrorDetail `json:"error,omitempty"` // from the target's agent
}

// CurrentBundle is the bundle in force.
type CurrentBundle struct {
	fleet.HistoryEntry
	Signed bundle.Signed `json:"signed"`
}

// History lists the bundles that were put in force, newest first.
type History struct {
	Bundles []fleet.HistoryEntry `json:"bundles"`
}

// ServeAdmin answers the operators' HTTP on l until ctx ends.
func (s *Server) ServeAdmin(ctx context.Context, l net.Listener) error {
	a := &admin{server: s}
	app := fiber.New(fiber.Config{
		AppName:   "banyan-control",
		BodyLimit: maxAdminBodyBytes,
		Immutable: true,
		ErrorHandler: func(c fiber.Ctx, err error) error {
			return httpapi.WriteError(c, frameworkError(err), "")
		},
	})
	a.register(app)
	return httpapi.Serve(ctx, app, l, adminDrainTimeout)
}

// frameworkError gives the library's own refusals a code.
func frameworkError(err error) *outcome.Error {
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
	v1.Post("/targets/:agent/:name/orders", a.handle(a.order))
	v1.Get("/status", a.handle(a.status))
	app.Use(func(c fiber.Ctx) error {
		return httpapi.WriteError(c, outcome.New(outcome.UnknownRoute, outcome.NotRun, "no route %s", c.Path()), "")
	})
}

// handle bounds a call in time and writes its answer or error.
func (a *admin) handle(call func(ctx context.Context, c fiber.Ctx) (any, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		ctx, cancel := context.WithTimeout(c.Context(), forwardTimeout)
		defer cancel()
		answer, err := call(ctx, c)
		if err != nil {
			return httpapi.WriteError(c, err, keyOf(c).RequestID)
		}
		return c.JSON(answer)
	}
}

func (a *admin) roll(ctx context.Context, c fiber.Ctx) (any, error) {
	request := &rpc.RollRequest{Key: keyOf(c)}
	if err := decodeBody(c, &request.Signed); err != nil {
		return nil, err
	}
	result, err := a.server.operators.roll(ctx, request)
	return commandAnswer(request.Key, result, err)
}

func (a *admin) markDataCentre(out bool) func(ctx context.Context, c fiber.Ctx) (any, error) {
	return func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.mark(ctx, keyOf(c), fleet.SetMark{DataCentre: c.Params("name"), Out: out})
	}
}

func (a *admin) markTarget(out bool) func(ctx context.Context, c fiber.Ctx) (any, error) {
	return func(ctx context.Context, c fiber.Ctx) (any, error) {
		return a.mark(ctx, keyOf(c), fleet.SetMark{Target: targetOf(c), Out: out})
	}
}

func (a *admin) mark(ctx context.Context, key rpc.RequestKey, mark fleet.SetMark) (any, error) {
	result, err := a.server.operators.mark(ctx, &rpc.MarkRequest{Key: key, Mark: mark})
	return commandAnswer(key, result, err)
}

func (a *admin) order(ctx context.Context, c fiber.Ctx) (any, error) {
	var body OrderBody
	if err := decodeBody(c, &body); err != nil {
		return nil, err
	}
	key := keyOf(c)
	request := &rpc.FencedOrderRequest{Key: key, Target: targetOf(c), Kind: body.Kind, Value: body.Value}
	response, err := a.server.operators.order(ctx, request)
	if err != nil {
		return nil, err
	}
	answer := OrderAnswer{RequestID: key.RequestID, Fence: response.Fence}
	if response.Error != nil {
		detail := httpapi.Body(response.Error, key.RequestID).Error
		answer.Error = &detail
	}
	return answer, nil
}

func (a *admin) currentBundle(ctx context.Context, _ fiber.Ctx) (any, error) {
	if err := a.server.confirm(ctx); err != nil {
		return nil, err
	}
	var current CurrentBundle
	found := false
	a.server.state.read(func(m *fleet.Machine) {
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
	a.server.state.read(func(m *fleet.Machine) {
		entries := m.History()
		for i := range entries {
			history.Bundles = append(history.Bundles, entries[len(entries)-1-i])
		}
	})
	return history, nil
}

func targetOf(c fiber.Ctx) fleet.TargetID {
	return fleet.TargetID(c.Params("agent") + "/" + c.Params("name"))
}

func decodeBody(c fiber.Ctx, out any) error {
	if err := json.Unmarshal(c.Body(), out); err != nil {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the body is not the expected JSON: %v", err)
	}
	return nil
}

func commandAnswer(key rpc.RequestKey, result *fleet.Result, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return CommandAnswer{RequestID: key.RequestID, Revision: result.Revision, Version: result.Version, Digest: result.Digest}, nil
}
