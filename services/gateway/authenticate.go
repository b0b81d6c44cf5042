package gateway

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/auth"
	"banyanwalk/core/bundle"
	"banyanwalk/core/fleet"
	"banyanwalk/core/outcome"
)

// Authenticate implements Authenticator.
func (s *Server) Authenticate(c fiber.Ctx) (*bundle.Workspace, *bundle.Index, error) {
	view, err := s.freshView()
	if err != nil {
		return nil, nil, err
	}
	workspace, _, err := authenticate(c, view)
	return workspace, view.Bundle(), err
}

// freshView returns the current view of the fleet. It fails with StateStale when
// the view is too old to admit requests.
func (s *Server) freshView() (*fleet.View, error) {
	if !s.cfg.State.Fresh(time.Now()) {
		return nil, errStale()
	}
	return s.cfg.State.View(), nil
}

func errStale() error {
	e := outcome.New(outcome.StateStale, outcome.NotRun, "this gateway has no confirmed state now")
	return e.WithRetryAfter(retryAfterStale)
}

// authenticate returns the workspace of the request's key, and the key itself, so
// that the caller can keep it out of what is forwarded.
func authenticate(c fiber.Ctx, view *fleet.View) (*bundle.Workspace, string, error) {
	header := strings.Clone(c.Get(fiber.HeaderAuthorization))
	key, err := auth.BearerKey(header)
	if err != nil {
		return nil, "", err
	}
	workspace, ok := view.Bundle().KeyWorkspace(auth.KeyDigest(key))
	if !ok {
		return nil, "", outcome.New(outcome.KeyUnknown, outcome.NotRun, "the key is not known")
	}
	return workspace, key, nil
}
