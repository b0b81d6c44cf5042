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

// Host is one process on a loopback address of its own.
type Host struct {
	Name string
	Role string
	IP   string
	// Fields replace fields of the provider's file from the next start or
	// WriteSettings on.
	Fields map[string]any

	site    *Site
	harmed  sync.Mutex // held from the end of the process until its next start
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	first   bool          // the next start is the first one
}

// Log returns the path of a host's log.
func (h *Host) Log() string { return filepath.Join(h.site.dir, h.Name+".log") }

func (h *Host) dataDir() string { return filepath.Join(h.site.dir, h.Name+".data") }

// settings returns the provider's file of the host.
func (h *Host) settings() ([]byte, error) {
	var seeds []string
	for _, c := range h.site.Role(Control) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.IP, operatorsPort))
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.IP, port) }
	index := 0
	for i, other := range h.site.Role(h.Role) {
		if other == h {
			index = i
		}
	}
	file := map[string]any{
		"node_name": h.Name, "ip": h.IP, "zone": h.site.zones[index%len(h.site.zones)], "bootstrap": h.first,
		"listen":     map[string]string{"frontend": at(frontendPort), "readiness": at(readinessPort), "control_plane": at(operatorsPort)},
		"port_range": []int{firstWirePort, lastWirePort}, "seed_nodes": seeds, "data_dir": h.dataDir(),
		"limits": map[string]any{"memory_mb": 256}, "fault_tolerance": map[string]any{"machines": 1},
		"bounds": map[string]any{"grace_s": 8, "status_s": 120},
	}
	maps.Copy(file, h.Fields)
	return json.Marshal(file)
}

func (h *Host) settingsFile() string { return filepath.Join(h.site.dir, h.Name+".json") }

// WriteSettings writes the provider's file of the host.
func (h *Host) WriteSettings() error {
	settings, err := h.settings()
	if err != nil {
		return err
	}
	return os.WriteFile(h.settingsFile(), settings, 0o600)
}

// Start starts the process of a host.
func (h *Host) Start() error {
	if err := h.WriteSettings(); err != nil {
		return err
	}
	if err := os.MkdirAll(h.dataDir(), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(h.Log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(h.site.binaries, "banyan-site-"+h.Role))
	command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+h.settingsFile())
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, h.Name)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.command, h.ended, h.first = command, ended, false
	h.mu.Unlock()
	h.site.waiting.Go(func() {
		_ = command.Wait() // how it ended is in its log
		close(ended)
	})
	return nil
}

// Signal sends a signal to the process of a host, if it runs.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return
	}
	select {
	case <-h.ended:
	default:
		_ = h.command.Process.Signal(signal) // it may end at this moment
	}
}

// Kill ends the process at once.
func (h *Host) Kill() {
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGKILL)
	h.wait(endTimeout)
}

// Stop ends the process in good order.
func (h *Host) Stop() {
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGTERM)
	if !h.wait(endTimeout) {
		h.Kill()
	}
}

// wait reports whether the process has ended within a time.
func (h *Host) wait(limit time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Wipe empties the disk of a host whose process does not run.
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
