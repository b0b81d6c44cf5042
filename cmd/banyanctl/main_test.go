package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/bundle"
	"banyanwalk/services/control"
)

const (
	operatorToken       = "test"
	operatorTokenDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	exampleBundle       = "../../examples/latvia.yaml"
)

// runTool runs a command line and returns its exit code, and its standard output
// and standard error in one string.
func runTool(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(args, &out, &out)
	return code, out.String()
}

// startControl runs a fleet of one control host and returns the address of its
// HTTP listener for operators.
func startControl(t *testing.T, trusted string) string {
	t.Helper()
	wireListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	adminListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	operators, err := bundle.ParseTrustedOperators([]string{trusted})
	require.NoError(t, err)
	server, err := control.New(control.Config{
		ID: 1, Peers: map[uint64]string{1: wireListener.Addr().String()}, DataDir: t.TempDir(),
		OperatorTokens: []string{operatorTokenDigest}, TrustedOperators: operators,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Run(ctx, wireListener) })
	wg.Go(func() { _ = server.ServeAdmin(ctx, adminListener) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return adminListener.Addr().String()
}

func TestOperatorSession(t *testing.T) {
	dir := t.TempDir()
	key, signed := filepath.Join(dir, "ilze.key"), filepath.Join(dir, "signed.json")
	code, out := runTool("bundle", "keygen", "-operator", "ilze", "-out", key)
	require.Equal(t, exitOK, code, out)
	trusted := strings.TrimSpace(out[strings.LastIndex(out, " "):])
	addr := startControl(t, trusted)
	t.Setenv("BANYAN_OPERATOR_TOKEN", operatorToken)
	t.Setenv("BANYAN_ADDR", "127.0.0.1:1,"+addr) // nothing listens on the first

	code, out = runTool("bundle", "sign", exampleBundle, "-operator", "ilze", "-key", key, "-out", signed)
	require.Equal(t, exitOK, code, out)
	code, out = runTool("bundle", "roll", exampleBundle, "-unsigned")
	require.Equal(t, exitFailure, code, out)
	require.Contains(t, out, "bundle_signature")
	code, first := runTool("bundle", "roll", signed, "-request-id", "r1")
	require.Equal(t, exitOK, code, first)
	code, again := runTool("bundle", "roll", signed, "-request-id", "r1")
	require.Equal(t, exitOK, code, again)
	require.Equal(t, first, again)

	source, err := os.ReadFile(exampleBundle)
	require.NoError(t, err)
	code, out = runTool("bundle", "show", "-source")
	require.Equal(t, exitOK, code)
	require.Equal(t, string(source), out)
	code, out = runTool("datacentre", "out", "lv-east-a")
	require.Equal(t, exitOK, code, out)
	code, out = runTool("data-centre", "out", "lv-west", "-output", "json")
	require.Equal(t, exitFailure, code, out)
	require.Contains(t, out, `"code":"505"`)
	code, out = runTool("target", "order", "h1/x", "-kind", "load", "-value", "m")
	require.Equal(t, exitFailure, code, out)
	require.Contains(t, out, "505 unknown_name")
	code, out = runTool("bundle", "history", "--output", "json")
	require.Equal(t, exitOK, code, out)
	var history control.History
	require.NoError(t, json.Unmarshal([]byte(out), &history))
	require.Equal(t, "ilze", history.Bundles[0].Operator)
	code, out = runTool("status", "-addr", "http://"+addr)
	require.Equal(t, exitOK, code, out)
	require.Contains(t, out, "data centres out: lv-east-a")
}

func TestExitCodes(t *testing.T) {
	faulty := filepath.Join(t.TempDir(), "faulty.yaml")
	require.NoError(t, os.WriteFile(faulty, []byte("version: 0\nowner: me\n"), publicFileMode))
	cases := []struct {
		code int
		want string
		args []string
	}{
		{exitOK, "data-centre out NAME", []string{"help"}},
		{exitOK, "-request-id", []string{"bundle", "roll", "-h"}},
		{exitOK, "no faults", []string{"bundle", "check", exampleBundle}},
		{exitFailure, "line 2: owner: unknown field", []string{"bundle", "check", faulty}},
		{exitUsage, "no such file", []string{"bundle", "check", "nowhere.yaml"}},
		{exitUsage, "unknown command", []string{"bundle", "unroll"}},
		{exitUsage, "want arguments", []string{"data-centre", "out"}},
		{exitUsage, "neither", []string{"status", "-output", "xml"}},
		{exitUsage, "not defined", []string{"status", "-colour"}},
		{exitUsage, "is not positive", []string{"rollouts", "begin", "llm", "v2", "-control", "127.0.0.1:1"}},
		{exitUsage, "want arguments", []string{"rollouts", "show"}},
		{exitUnreachable, "no control host answered", []string{"rollouts", "show", "llm", "-control", "127.0.0.1:1"}},
		{exitUsage, "not agent/name", []string{"target", "out", "h1"}},
		{exitUnreachable, "resend with -request-id r9", []string{"data-centre", "out", "a", "-addr", "127.0.0.1:1", "-timeout", "1s", "-request-id", "r9"}},
		{exitUnreachable, "127.0.0.1:1", []string{"status", "-addr", "127.0.0.1:1", "-timeout", "1s"}},
	}
	for _, c := range cases {
		code, out := runTool(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.want, "%v", c.args)
	}
}

func TestTimelineJSON(t *testing.T) {
	log := filepath.Join(t.TempDir(), "g1.log")
	require.NoError(t, os.WriteFile(log, []byte("msg=a hlc=5.00000 process=p request=r1\nmsg=b hlc=4.00000 process=p request=r1\n"), publicFileMode))
	code, out := runTool("timeline", log, "-request", "r1", "-output", "json")
	require.Equal(t, exitOK, code, out)
	require.Less(t, strings.Index(out, `"b"`), strings.Index(out, `"a"`))
}
