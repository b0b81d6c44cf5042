package gateway

import (
	"github.com/gofiber/fiber/v3"

	"banyanwalk/core/bundle"
	"banyanwalk/infra/httpapi"
)

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that the caller's workspace may use.
func (s *Server) serveModels(c fiber.Ctx) error {
	workspace, index, err := s.Authenticate(c)
	if err != nil {
		s.metrics.refusals.Inc(1)
		return httpapi.WriteError(c, err, "")
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range index.Document().Models {
		if m.Kind == bundle.KindModel && workspace.Allows(m.Name) {
			list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", OwnedBy: "banyanwalk"})
		}
	}
	return c.JSON(list)
}
