package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/platform"
)

// Host is one process of a site program with a loopback address of its own.
type Host struct {
	Name string
	Role string
	IP   string
	// SettingsOverrides replaces fields of the settings file. It takes effect when
	// Start or WriteSettings writes the file.
	SettingsOverrides map[string]any

	site       *Site
	faultMu    sync.Mutex // held while the soak injects a fault, so that faults on a host never overlap
	mu         sync.Mutex
	command    *exec.Cmd
	exited     chan struct{} // closed when the process has exited
	firstStart bool          // the next start is the first one of the whole site; sent as "bootstrap"
}

// LogPath returns the path of the host's log.
func (h *Host) LogPath() string { return filepath.Join(h.site.dir, h.Name+".log") }

func (h *Host) dataDir() string { return filepath.Join(h.site.dir, h.Name+".data") }

// settingsJSON returns the content of the host's settings file.
func (h *Host) settingsJSON() ([]byte, error) {
	var seeds []string
	for _, c := range h.site.Role(Control) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.IP, controlPlanePort))
	}
	addr := func(port int) string { return fmt.Sprintf("%s:%d", h.IP, port) }
	index := 0
	for i, other := range h.site.Role(h.Role) {
		if other == h {
			index = i
		}
	}
	file := map[string]any{
		"node_name": h.Name, "ip": h.IP, "zone": h.site.zones[index%len(h.site.zones)], "bootstrap": h.firstStart,
		"listen":     map[string]string{"frontend": addr(frontendPort), "readiness": addr(readinessPort), "control_plane": addr(controlPlanePort)},
		"port_range": []int{firstWirePort, lastWirePort}, "seed_nodes": seeds, "data_dir": h.dataDir(),
		"limits": map[string]any{"memory_mb": 256}, "fault_tolerance": map[string]any{"machines": 1},
		"bounds": map[string]any{"grace_s": 8, "status_s": 120},
	}
	maps.Copy(file, h.SettingsOverrides)
	return json.Marshal(file)
}

func (h *Host) settingsPath() string { return filepath.Join(h.site.dir, h.Name+".json") }

// WriteSettings writes the host's settings file.
func (h *Host) WriteSettings() error {
	settings, err := h.settingsJSON()
	if err != nil {
		return err
	}
	return os.WriteFile(h.settingsPath(), settings, 0o600)
}

// Start writes the settings file and starts the process. Its output is appended
// to the log.
func (h *Host) Start() error {
	if err := h.WriteSettings(); err != nil {
		return err
	}
	if err := os.MkdirAll(h.dataDir(), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(h.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(h.site.binaries, "banyan-site-"+h.Role))
	// A program with the race detector runs on for a second after its end by default, which
	// hides requests that its end cuts.
	command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+h.settingsPath(), "GORACE=atexit_sleep_ms=0")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, h.Name)
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.command, h.exited, h.firstStart = command, exited, false
	h.mu.Unlock()
	h.site.processWaiters.Go(func() {
		_ = command.Wait() // the log shows why it exited
		close(exited)
	})
	return nil
}

// Signal sends a signal to the process if it is running.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return
	}
	select {
	case <-h.exited:
	default:
		_ = h.command.Process.Signal(signal) // fails if the process has just exited
	}
}

// Kill sends SIGKILL and waits for the exit. SIGCONT first resumes a paused
// process.
func (h *Host) Kill() {
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGKILL)
	h.awaitExit(exitTimeout)
}

// Stop sends SIGTERM for a graceful shutdown, and kills the process if it has not
// exited within exitTimeout.
func (h *Host) Stop() {
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGTERM)
	if !h.awaitExit(exitTimeout) {
		h.Kill()
	}
}

// awaitExit waits for the exit of the process and reports whether it came before
// the timeout. It returns true if no process was started.
func (h *Host) awaitExit(timeout time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Wipe deletes the data folder, as if the host had lost its disk. The process
// must not be running.
func (h *Host) Wipe() error { return os.RemoveAll(h.dataDir()) }

// Start starts all hosts.
func (s *Site) Start() error {
	for _, h := range s.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return nil
}
