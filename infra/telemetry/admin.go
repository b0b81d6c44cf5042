package telemetry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"

	"banyanwalk/infra/httpapi"
)

const adminShutdownTimeout = 2 * time.Second

// ServeAdmin serves GET /metrics (the registry as JSON), /healthz and /readyz on
// l until ctx is cancelled. ready returns the reason why the process is not
// ready, or nil.
func ServeAdmin(ctx context.Context, l net.Listener, registry metrics.Registry, ready func() error) error {
	app := fiber.New(fiber.Config{AppName: "banyanwalk-admin"})
	app.Get("/metrics", func(c fiber.Ctx) error { return c.JSON(registry.GetAll()) })
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if err := ready(); err != nil {
			return c.Status(http.StatusServiceUnavailable).SendString(err.Error() + "\n")
		}
		return c.SendString("ready\n")
	})
	return httpapi.Serve(ctx, app, l, adminShutdownTimeout)
}
