package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/catalog"
	"banyanwalk/core/routing"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/telemetry"
	"banyanwalk/services/follow"
	"banyanwalk/services/standin"
)

// Until a quorum has confirmed the document, a gateway serves what the document
// allows, and asks callers back where a newer one may allow more.
func TestEarlyDocumentServesAndRefusesNothingForGood(t *testing.T) {
	early := follow.New(follow.Config{
		Member:      rpc.Member{Name: "g", Role: rpc.RoleGateway, DataCentre: "a"},
		Decode:      func([]byte) (*routing.Document, error) { return document(), nil },
		Log:         telemetry.Discard(),
		AcceptEarly: true,
	})
	f := newFixtureWithConfig(t, func(c *Config) { c.Follower = early }, standin.Behaviour{})
	push := &rpc.FollowPush{
		EarlyCatalog: rpc.PackCatalog(&catalog.State{Revision: 5, Version: 1}, nil),
		Targets:      []rpc.TargetReport{f.targets[0].Report("llm", "a", 8)},
	}
	early.ApplyPush(time.Now(), "test", push)
	require.True(t, early.CatalogIsEarly())
	status := func(path, key string) int {
		response, _, err := f.send(path, "r", "X-Key", key)
		require.NoError(t, err)
		if response.StatusCode == http.StatusServiceUnavailable {
			assert.NotEmpty(t, response.Header.Get("Retry-After"))
		}
		return response.StatusCode
	}
	assert.Equal(t, http.StatusOK, status("/safe/1", "k1"))
	assert.Equal(t, http.StatusServiceUnavailable, status("/nowhere/1", "k1"))
	assert.Equal(t, http.StatusServiceUnavailable, status("/safe/1", "k9"))
	early.ApplyPush(time.Now(), "test", &rpc.FollowPush{ConfirmedRevision: 5})
	require.False(t, early.CatalogIsEarly())
	assert.Equal(t, http.StatusOK, status("/safe/1", "k1"))
	assert.Equal(t, http.StatusNotFound, status("/nowhere/1", "k1"))
	assert.Equal(t, http.StatusUnauthorized, status("/safe/1", "k9"))
}
