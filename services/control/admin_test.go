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

// startAdmin serves the operators' HTTP of all hosts.
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

func operator(token, requestID string, addrs ...string) *adminclient.Client {
	return adminclient.New(adminclient.Config{Addrs: addrs, Token: token, RequestID: requestID, Timeout: liveness})
}

func TestOperatorsHTTP(t *testing.T) {
	f := startFleet(t)
	addrs := startAdmin(t, f)
	rolled := bundle.Signed{Source: source(1, 0)}

	var first, again control.CommandAnswer
	require.NoError(t, operator("test", "r1", addrs[0]).Post("/bundles", rolled, &first))
	require.NoError(t, operator("test", "r1", addrs[1]).Post("/bundles", rolled, &again))
	require.Equal(t, first, again)
	err := operator("test", "r2", addrs[2]).Post("/bundles", bundle.Signed{Source: source(1, 1)}, &again)
	require.True(t, outcome.IsCode(err, outcome.BundleConflict), "%v", err)
	require.Contains(t, err.Error(), first.Digest)
	err = operator("test", "r1", addrs[2]).Post("/bundles", bundle.Signed{Source: source(3, 1)}, &again)
	require.True(t, outcome.IsCode(err, outcome.IdempotencyMismatch), "%v", err)
	err = operator("test", "r3", addrs[2]).Post("/bundles", bundle.Signed{Source: []byte("version: x")}, &again)
	require.True(t, outcome.IsCode(err, outcome.BundleInvalid), "%v", err)
	err = operator("guess", "", addrs[0]).Get("/status", &control.Status{})
	require.True(t, outcome.IsCode(err, outcome.OperatorUnknown), "%v", err)

	require.NoError(t, operator("test", "", addrs[2]).Post("/data-centres/a/out", struct{}{}, &again))
	err = operator("test", "", addrs[2]).Post("/data-centres/b/out", struct{}{}, &again)
	require.True(t, outcome.IsCode(err, outcome.UnknownName), "%v", err)
	err = operator("test", "", addrs[2]).Post("/targets/h/m/out", struct{}{}, &again)
	require.True(t, outcome.IsCode(err, outcome.UnknownName), "%v", err)
	err = operator("test", "", addrs[2]).Post("/targets/h/m/orders", control.OrderBody{Kind: rpc.OrderLoad}, &again)
	require.True(t, outcome.IsCode(err, outcome.UnknownName), "%v", err)

	for _, addr := range addrs { // linearizable: every host tells what was acknowledged before
		var status control.Status
		require.NoError(t, operator("test", "", addr).Get("/status", &status))
		require.Empty(t, status.Error)
		require.Equal(t, []string{"a"}, status.Fleet.Marks.DataCentresOut)
		var current control.CurrentBundle
		require.NoError(t, operator("test", "", addr).Get("/bundles/current", &current))
		require.Equal(t, rolled.Source, current.Signed.Source)
		var history control.History
		require.NoError(t, operator("test", "", addr).Get("/bundles/history", &history))
		require.Len(t, history.Bundles, 1)
	}
}

// TestOperatorFailsOver takes the first host out and checks that the command
// goes through another one.
func TestOperatorFailsOver(t *testing.T) {
	f := startFleet(t)
	addrs := startAdmin(t, f)
	f.leader()
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead.Close()
	var answer control.CommandAnswer
	client := operator("test", "", dead.Addr().String(), addrs[1])
	require.NoError(t, client.Post("/bundles", bundle.Signed{Source: source(1, 0)}, &answer))
	require.Equal(t, uint64(1), answer.Version)
}

// TestOversizedBodyIsRefused announces a body that is never sent.
func TestOversizedBodyIsRefused(t *testing.T) {
	f := startFleet(t)
	conn, err := net.Dial("tcp", startAdmin(t, f)[0])
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /admin/v1/bundles HTTP/1.1\r\nHost: control\r\nContent-Length: 99999999\r\n\r\n"))
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "413")
	require.Contains(t, string(answer), outcome.BodyTooLarge.Name())
}
