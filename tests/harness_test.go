package tests

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

const (
	firstPort        = 21000
	portsPerFleet    = 500
	lastPort         = 31000
	scriptTimeout    = 2 * time.Minute // of one call of scripts/fleet.sh
	pollInterval     = 20 * time.Millisecond
	conditionTimeout = 60 * time.Second // bounds waiting; no test asserts on speed
)

// binDir is the folder of the programs under test, built with the race
// detector.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "banyan-bin-")
	if err != nil {
		panic(err)
	}
	binDir = dir
	build := exec.Command("go", "build", "-race", "-o", dir+"/", "./cmd/...")
	build.Dir = ".."
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a fleet started by scripts/fleet.sh.
type fleet struct {
	t    *testing.T
	dir  string            // logs, pid files and data of the processes
	port int               // first of its portsPerFleet ports
	env  map[string]string // addresses, keys and names that the script wrote to fleet.env
}

// startFleet starts a fleet and shuts it down at the end of the test. settings are
// NAME=VALUE pairs in the environment of the script.
func startFleet(t *testing.T, settings ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), port: freePorts(t)}
	t.Cleanup(func() { f.shutDown() })
	f.runScript(settings, "up", f.dir)
	f.env = readEnvFile(t, filepath.Join(f.dir, "fleet.env"))
	return f
}

// freePorts returns the first port of an unused range of portsPerFleet. It probes
// one port each of the control hosts, the gateways and the agents.
func freePorts(t *testing.T) int {
	t.Helper()
	for base := firstPort; base < lastPort; base += portsPerFleet {
		if portFree(base+1) && portFree(base+31) && portFree(base+101) {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

func portFree(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// runScript runs scripts/fleet.sh. If that fails, it fails the test with the output
// of the script and the ends of all logs.
func (f *fleet) runScript(settings []string, args ...string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, "../scripts/fleet.sh", args...)
	command.Env = append(os.Environ(), "FLEET_BIN="+binDir, fmt.Sprintf("FLEET_PORT=%d", f.port))
	command.Env = append(command.Env, settings...)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	command.WaitDelay = time.Second // do not wait for processes of the fleet that inherited the output
	if err := command.Run(); err != nil {
		f.t.Fatalf("fleet.sh %v: %v\n%s\n%s", args, err, out.String(), f.logTails())
	}
}

// shutDown checks the logs for data races and panics, stops all processes and, if
// the test failed, prints the ends of the logs.
func (f *fleet) shutDown() {
	if f.t.Failed() {
		f.t.Log(f.logTails())
	}
	f.checkRacesAndPanics()
	f.runScript(nil, "down", f.dir)
}

// checkRacesAndPanics fails the test if a log reports a data race or a panic.
func (f *fleet) checkRacesAndPanics() {
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, path := range logs {
		content, _ := os.ReadFile(path)
		for _, marker := range []string{"WARNING: DATA RACE", "panic:"} {
			if i := bytes.Index(content, []byte(marker)); i >= 0 {
				f.t.Errorf("%s: %s", filepath.Base(path), content[i:min(len(content), i+3000)])
			}
		}
	}
}

// logTails returns the ends of all logs.
func (f *fleet) logTails() string {
	var b strings.Builder
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, path := range logs {
		content, _ := os.ReadFile(path)
		fmt.Fprintf(&b, "== %s\n%s\n", filepath.Base(path), content[max(0, len(content)-600):])
	}
	return b.String()
}

// signal sends a signal, such as "TERM", to one process, such as "control-1".
func (f *fleet) signal(name, signalName string) {
	f.t.Helper()
	f.runScript(nil, "kill", f.dir, name, signalName)
}

// start restarts an exited process with the same command line.
func (f *fleet) start(name string) {
	f.t.Helper()
	f.runScript(nil, "start", f.dir, name)
}

// gatewayURL returns the base URL of gateway i, counted from 0.
func (f *fleet) gatewayURL(i int) string { return "http://" + strings.Fields(f.env["GATEWAYS"])[i] }

// engineURL returns the base URL of simulated engine or service i, counted from 0.
func (f *fleet) engineURL(i int) string { return "http://" + strings.Fields(f.env["ENGINES"])[i] }

// adminURLs returns the base URLs of the operators' API of all control hosts,
// comma-separated.
func (f *fleet) adminURLs() string {
	return "http://" + strings.Join(strings.Fields(f.env["CONTROLS"]), ",http://")
}

// openAIClient returns an OpenAI client of gateway i with the key of a caller. It
// makes no retries of its own.
func (f *fleet) openAIClient(i int, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(f.gatewayURL(i)+"/v1/"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	)
}

// banyanctl runs banyanctl against the control hosts. The result holds both its
// standard output and its error output.
func (f *fleet) banyanctl(args ...string) (string, error) {
	command := exec.Command(filepath.Join(binDir, "banyanctl"), args...)
	command.Env = append(os.Environ(), "BANYAN_ADDR="+f.adminURLs(), "BANYAN_OPERATOR_TOKEN="+f.env["OPERATOR_TOKEN"])
	out, err := command.CombinedOutput()
	return string(out), err
}

// sign signs a bundle file as the demo operator.
func (f *fleet) sign(path, signedPath string) {
	f.t.Helper()
	sign := exec.Command(filepath.Join(binDir, "banyanctl"), "bundle", "sign",
		"-key", filepath.Join(f.dir, "operator.key"), "-operator", "demo", "-out", signedPath, path)
	out, err := sign.CombinedOutput()
	require.NoError(f.t, err, string(out))
}

// rollBundle signs the bundle source and rolls it.
func (f *fleet) rollBundle(source string) {
	f.t.Helper()
	path, signedPath := filepath.Join(f.dir, "rolled.yaml"), filepath.Join(f.dir, "rolled.signed")
	require.NoError(f.t, os.WriteFile(path, []byte(source), 0o600))
	f.sign(path, signedPath)
	output, err := f.banyanctl("bundle", "roll", signedPath)
	require.NoError(f.t, err, output)
}

// running reports whether a process is running.
func (f *fleet) running(name string) bool {
	pid, err := os.ReadFile(filepath.Join(f.dir, name+".pid"))
	require.NoError(f.t, err)
	cmdline, err := os.ReadFile("/proc/" + strings.TrimSpace(string(pid)) + "/cmdline")
	return err == nil && len(cmdline) > 0
}

// logsContaining returns the names of the logs that contain a text.
func (f *fleet) logsContaining(text string) []string {
	var found []string
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, path := range logs {
		content, _ := os.ReadFile(path)
		if bytes.Contains(content, []byte(text)) {
			found = append(found, filepath.Base(path))
		}
	}
	return found
}

// eventually polls a condition and fails the test if it does not hold within
// conditionTimeout.
func (f *fleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", description)
		}
		time.Sleep(pollInterval)
	}
}

// readEnvFile reads a file of lines NAME="VALUE".
func readEnvFile(t *testing.T, path string) map[string]string {
	t.Helper()
	file, err := os.Open(path)
	require.NoError(t, err)
	defer file.Close()
	env := make(map[string]string)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), "=")
		env[name] = strings.Trim(value, `"`)
	}
	return env
}
