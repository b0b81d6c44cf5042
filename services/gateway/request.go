package gateway

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"banyanwalk/core/auth"
	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
	"banyanwalk/core/quarantine"
	"banyanwalk/infra/bytebudget"
	"banyanwalk/infra/rpc"
)

const (
	resumeField     = "resume_from_tokens"
	requestIDHeader = "X-Request-Id"
)

// inboundRequest is a caller's request that has passed the checks of
// parseRequest.
type inboundRequest struct {
	id             string
	workspace      string
	keyDigest      string // empty on open routes, which need no key
	weight         int
	route          *bundle.Route
	limits         bundle.Limits
	model          string
	method         string
	path           string // at the target, including the query
	headers        []rpc.Header
	body           []byte
	held           *bytebudget.Reservation // for body and its copies
	digest         quarantine.Digest
	idempotent     bool
	idempotencyKey string // Idempotency-Key header; empty: none
	resumable      bool   // streamed generation that can continue after tokens already sent
	deadline       time.Time
	start          time.Time
}

// generationRequest holds the fields that the gateway reads of the body of a model
// request.
type generationRequest struct {
	Model  string
	Stream bool
	N      int
}

// parseRequest reads a request and makes all checks that need no call to another
// process.
func (s *Server) parseRequest(c fiber.Ctx) (*inboundRequest, error) {
	view, err := s.freshView()
	if err != nil {
		return nil, err
	}
	path := strings.Clone(string(c.Request().URI().PathOriginal()))
	if !auth.IsCanonicalPath(path) {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "the path has escapes or empty segments")
	}
	index := view.Bundle()
	route, ok := index.Route(path)
	if !ok {
		return nil, outcome.New(outcome.UnknownRoute, outcome.NotRun, "no route matches the path")
	}
	r := &inboundRequest{
		id:         uuid.NewString(),
		route:      route,
		limits:     index.Document().Limits,
		method:     strings.Clone(c.Method()),
		idempotent: route.Idempotent,
		start:      time.Now(),
	}
	workspace, key, err := callerWorkspace(c, view, route)
	if err != nil {
		return nil, err
	}
	if workspace != nil {
		r.workspace, r.weight = workspace.Name, workspace.Weight
		r.keyDigest = auth.KeyDigest(key)
	}
	r.deadline = r.start.Add(r.timeout())
	if failure := s.limits.Admit(c.RequestCtx(), r.workspace); failure != nil {
		return nil, failure
	}
	if r.body, r.held, err = s.readBody(c, r.maxBodyBytes()); err != nil {
		return nil, err
	}
	if err := r.checkContent(c, index, workspace, path, key); err != nil {
		r.held.Release()
		return nil, err
	}
	r.headers = forwardHeaders(c, key)
	r.digest = auth.RequestDigest(r.workspace, r.path, r.body)
	return r, nil
}

// checkContent checks what the body and the headers ask for.
func (r *inboundRequest) checkContent(c fiber.Ctx, index *bundle.Index, workspace *bundle.Workspace, path, key string) error {
	if err := r.resolveModel(c, path, key); err != nil {
		return err
	}
	if err := r.checkModel(index, workspace); err != nil {
		return err
	}
	return r.readIdempotencyKey(c, key)
}

// callerWorkspace returns the workspace and the key of a request; the workspace is
// nil on an open route. A key sent to an open route is not checked, but returned
// so that it is never forwarded.
func callerWorkspace(c fiber.Ctx, view *fleet.View, route *bundle.Route) (*bundle.Workspace, string, error) {
	if !route.Open {
		return authenticate(c, view)
	}
	key, err := auth.BearerKey(strings.Clone(c.Get(fiber.HeaderAuthorization)))
	if err != nil {
		key = ""
	}
	return nil, key, nil
}

// checkKey fails if the key was revoked after the request was parsed.
func (r *inboundRequest) checkKey(view *fleet.View) *outcome.Error {
	if r.keyDigest == "" {
		return nil
	}
	workspace, known := view.Bundle().KeyWorkspace(r.keyDigest)
	if !known || workspace.Name != r.workspace {
		return outcome.New(outcome.KeyUnknown, outcome.NotRun, "the key is not known")
	}
	return nil
}

func (r *inboundRequest) timeout() time.Duration {
	if r.route.Timeout > 0 {
		return r.route.Timeout.Std()
	}
	if r.limits.RequestTimeout > 0 {
		return r.limits.RequestTimeout.Std()
	}
	return defaultRequestTimeout
}

func (r *inboundRequest) maxBodyBytes() int {
	if r.limits.MaxBodyBytes > 0 {
		return r.limits.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// bodyCopies is how many copies of its body a request holds: the body, the frame to an
// agent and its encoding.
const bodyCopies = 3

// readBody returns the unmodified request body, and what it holds of the gateway's memory.
func (s *Server) readBody(c fiber.Ctx, limit int) ([]byte, *bytebudget.Reservation, error) {
	if encoding := c.Get(fiber.HeaderContentEncoding); encoding != "" && encoding != "identity" {
		return nil, nil, outcome.New(outcome.BadRequest, outcome.NotRun, "compressed bodies are not taken")
	}
	held, failure := s.limits.ReadBodyUpTo(c.RequestCtx(), int64(limit), bodyCopies)
	if failure != nil {
		return nil, nil, failure
	}
	return c.Request().Body(), held, nil
}

// resolveModel sets the model or service of the request and the path at its target.
func (r *inboundRequest) resolveModel(c fiber.Ctx, path, key string) error {
	if auth.ContainsKey(path, key) || auth.BodyContainsKey(r.body, key) {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the key must only be sent in the Authorization header")
	}
	if r.route.Service != "" {
		r.model = r.route.Service
		r.path = r.route.TargetPath(path)
		if query := auth.FilterQuery(string(c.Request().URI().QueryString()), key); query != "" {
			r.path += "?" + query
		}
		return nil
	}
	g, err := parseGenerationRequest(r.body)
	if err != nil {
		return err
	}
	r.model = g.Model
	r.path = path
	r.resumable = r.idempotent && g.Stream && g.N <= 1
	return nil
}

// parseGenerationRequest reads the fields that routing needs. Field names are
// case-sensitive, as in the engines.
func parseGenerationRequest(body []byte) (generationRequest, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return generationRequest{}, outcome.New(outcome.BadRequest, outcome.NotRun, "the body is not a JSON object")
	}
	if _, reserved := fields[resumeField]; reserved {
		return generationRequest{}, outcome.New(outcome.BadRequest, outcome.NotRun, "the field %s is reserved", resumeField)
	}
	g := generationRequest{N: 1}
	for name, out := range map[string]any{"model": &g.Model, "stream": &g.Stream, "n": &g.N} {
		raw, present := fields[name]
		if !present {
			continue
		}
		if err := json.Unmarshal(raw, out); err != nil {
			return generationRequest{}, outcome.New(outcome.BadRequest, outcome.NotRun, "the field %s has the wrong type", name)
		}
	}
	if g.Model == "" {
		return generationRequest{}, outcome.New(outcome.BadRequest, outcome.NotRun, "the field model is missing")
	}
	return g, nil
}

// checkModel checks that the model exists and that the workspace may use it.
func (r *inboundRequest) checkModel(index *bundle.Index, workspace *bundle.Workspace) error {
	model, ok := index.Model(r.model)
	if !ok || (r.route.Service == "" && model.Kind != bundle.KindModel) {
		return outcome.New(outcome.UnknownModel, outcome.NotRun, "no model of this name")
	}
	if workspace != nil && !workspace.Allows(r.model) {
		return outcome.New(outcome.NotAllowed, outcome.NotRun, "the workspace may not use %s", r.model)
	}
	return nil
}

// forwardHeaders returns the request headers that may be forwarded to the target.
func forwardHeaders(c fiber.Ctx, key string) []rpc.Header {
	var headers []rpc.Header
	for name, value := range c.Request().Header.All() {
		if auth.MayForwardHeader(string(name), string(value), key) {
			headers = append(headers, rpc.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}
