package control_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/services/control"
	"banyanwalk/services/control/adminclient"
)

// startAdmin serves the admin API of all hosts and returns their addresses.
func startAdmin(t *testing.T, f *testFleet) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	addrs := make([]string, len(f.hosts))
	for i, h := range f.hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addrs[i] = l.Addr().String()
		wg.Go(func() {
			if err := h.server.ServeAdmin(ctx, l); err != nil {
				t.Errorf("admin: %v", err)
			}
		})
	}
	return addrs
}

func operatorClient(token, requestID string, addrs ...string) *adminclient.Client {
	return adminclient.New(adminclient.Config{Addrs: addrs, Token: token, RequestID: requestID, Timeout: waitTimeout})
}

func TestAdminAPI(t *testing.T) {
	f := startFleet(t)
	addrs := startAdmin(t, f)
	rolled := bundle.Signed{Source: bundleSource(1, 0)}

	var first, second control.CommandResponse
	require.NoError(t, operatorClient("test", "r1", addrs[0]).Post("/bundles", rolled, &first))
	require.NoError(t, operatorClient("test", "r1", addrs[1]).Post("/bundles", rolled, &second))
	require.Equal(t, first, second)
	err := operatorClient("test", "r2", addrs[2]).Post("/bundles", bundle.Signed{Source: bundleSource(1, 1)}, &second)
	require.True(t, outcome.IsCode(err, outcome.BundleConflict), "%v", err)
	require.Contains(t, err.Error(), first.Digest)
	err = operatorClient("test", "r1", addrs[2]).Post("/bundles", bundle.Signed{Source: bundleSource(3, 1)}, &second)
	require.True(t, outcome.IsCode(err, outcome.IdempotencyMismatch), "%v", err)
	err = operatorClient("test", "r3", addrs[2]).Post("/bundles", bundle.Signed{Source: []byte("version: x")}, &second)
	require.True(t, outcome.IsCode(err, outcome.BundleInvalid), "%v", err)
	err = operatorClient("guess", "", addrs[0]).Get("/status", &control.Status{})
	require.True(t, outcome.IsCode(err, outcome.OperatorUnknown), "%v", err)

	require.NoError(t, operatorClient("test", "", addrs[2]).Post("/data-centres/a/out", struct{}{}, &second))
	err = operatorClient("test", "", addrs[2]).Post("/data-centres/b/out", struct{}{}, &second)
	require.True(t, outcome.IsCode(err, outcome.UnknownName), "%v", err)
	err = operatorClient("test", "", addrs[2]).Post("/targets/h/m/out", struct{}{}, &second)
	require.True(t, outcome.IsCode(err, outcome.UnknownName), "%v", err)
	err = operatorClient("test", "", addrs[2]).Post("/targets/h/m/orders", control.OrderRequest{Kind: rpc.OrderLoad}, &second)
	require.True(t, outcome.IsCode(err, outcome.UnknownName), "%v", err)

	for _, addr := range addrs { // linearizable: every host returns what was acknowledged before
		var status control.Status
		require.NoError(t, operatorClient("test", "", addr).Get("/status", &status))
		require.Empty(t, status.Error)
		require.Equal(t, []string{"a"}, status.Fleet.Marks.DataCentresOut)
		var current control.CurrentBundle
		require.NoError(t, operatorClient("test", "", addr).Get("/bundles/current", &current))
		require.Equal(t, rolled.Source, current.Signed.Source)
		var history control.History
		require.NoError(t, operatorClient("test", "", addr).Get("/bundles/history", &history))
		require.Len(t, history.Bundles, 1)
	}
}

// TestAdminClientFailsOver checks that the admin client sends a command to the
// next host if the first one refuses connections.
func TestAdminClientFailsOver(t *testing.T) {
	f := startFleet(t)
	addrs := startAdmin(t, f)
	f.leader()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	var response control.CommandResponse
	client := operatorClient("test", "", closed.Addr().String(), addrs[1])
	require.NoError(t, client.Post("/bundles", bundle.Signed{Source: bundleSource(1, 0)}, &response))
	require.Equal(t, uint64(1), response.Version)
}

// TestOversizedBodyIsRejected checks that a request with a too large
// Content-Length is rejected before its body is sent.
func TestOversizedBodyIsRejected(t *testing.T) {
	f := startFleet(t)
	conn, err := net.Dial("tcp", startAdmin(t, f)[0])
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /admin/v1/bundles HTTP/1.1\r\nHost: control\r\nContent-Length: 99999999\r\n\r\n"))
	require.NoError(t, err)
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(response), "413")
	require.Contains(t, string(response), outcome.BodyTooLarge.Name())
}
