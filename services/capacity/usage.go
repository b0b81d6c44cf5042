// Package capacity measures the resource use of a running fleet as its load
// grows. It increases the number of synthetic agents, the online request rate and
// the batch size in steps, reads the processor, memory and I/O use of each process
// from /proc, and fits a linear function to each series, from which the use at the
// design size is extrapolated. It runs on Linux only.
package capacity

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	ticksPerSecond = 100 // USER_HZ, fixed on Linux
	utimeField     = 11  // index in /proc/PID/stat, counted after the command name
	stimeField     = 12
)

// process is one process of the fleet under measurement.
type process struct {
	name string // role and number, such as control-1
	pid  int
}

// processSample holds a process's counters since its start, and its current
// memory.
type processSample struct {
	at     time.Time
	cpu    time.Duration
	bytes  float64 // read and written, over network and disk
	memory float64 // resident bytes now
}

// ResourceUsage is the resource use of a process over an interval.
type ResourceUsage struct {
	CPUPercent     float64 `json:"cpu_percent"` // of one core
	BytesPerSecond float64 `json:"bytes_per_second"`
	MemoryMB       float64 `json:"memory_mb"`
}

// findProcesses reads the pid files of a fleet's directory. It leaves out the
// simulated engines.
func findProcesses(dir string) ([]process, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.pid"))
	if err != nil || len(files) == 0 {
		return nil, errors.Newf("no pid files in %s", dir)
	}
	var found []process
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read pid file")
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil {
			return nil, errors.Wrapf(err, "%s", file)
		}
		name := strings.TrimSuffix(filepath.Base(file), ".pid")
		if !strings.HasPrefix(name, "engine-") {
			found = append(found, process{name: name, pid: pid})
		}
	}
	return found, nil
}

// sample reads the current counters of the process.
func (p process) sample() (processSample, error) {
	s := processSample{at: time.Now()}
	var err error
	if s.cpu, err = p.cpu(); err != nil {
		return s, err
	}
	if s.bytes, err = p.sumFields("io", "rchar:", "wchar:"); err != nil {
		return s, err
	}
	kilobytes, err := p.sumFields("status", "VmRSS:")
	s.memory = kilobytes * 1024
	return s, err
}

// cpu returns the user and system time used. The command name in the stat file
// may contain spaces, so fields are counted after its closing parenthesis.
func (p process) cpu() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid))
	if err != nil {
		return 0, errors.Wrapf(err, "%s", p.name)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= stimeField {
		return 0, errors.Newf("%s: too few fields in /proc stat file", p.name)
	}
	var ticks int64
	for _, i := range []int{utimeField, stimeField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, errors.Wrapf(err, "%s: parse /proc stat file", p.name)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// sumFields adds up the values of the named lines of a /proc file.
func (p process) sumFields(file string, names ...string) (float64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/%s", p.pid, file))
	if err != nil {
		return 0, errors.Wrapf(err, "%s", p.name)
	}
	defer f.Close()
	total := 0.0
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		for _, name := range names {
			if len(fields) > 1 && fields[0] == name {
				n, err := strconv.ParseFloat(fields[1], 64)
				if err != nil {
					return 0, errors.Wrapf(err, "%s: %s", p.name, file)
				}
				total += n
			}
		}
	}
	return total, errors.Wrapf(scanner.Err(), "%s: %s", p.name, file)
}

// usageBetween returns the resource use between two samples; memory is that of
// the later one.
func usageBetween(before, after processSample) ResourceUsage {
	seconds := after.at.Sub(before.at).Seconds()
	return ResourceUsage{
		CPUPercent:     100 * (after.cpu - before.cpu).Seconds() / seconds,
		BytesPerSecond: (after.bytes - before.bytes) / seconds,
		MemoryMB:       after.memory / (1 << 20),
	}
}
