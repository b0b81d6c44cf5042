package gateway

import (
	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/bundle"
)

// Mount is a group of routes that another package adds to the gateway's
// listener.
type Mount interface {
	// Register adds the routes to app. Each handler must call auth on every
	// request.
	Register(app fiber.Router, auth Authenticator)
}

// Authenticator authenticates requests by their key.
type Authenticator interface {
	// Authenticate returns the workspace of the request's key and the current
	// configuration bundle. It fails with an *outcome.Error of outcome NotRun
	// when the key is missing or unknown or the state is stale.
	Authenticate(c fiber.Ctx) (workspace *bundle.Workspace, index *bundle.Index, err error)
}
