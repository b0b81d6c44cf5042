// Package settings parses a program's flags with BANYAN_* environment
// variables behind them. It checks nothing itself: programs add checks, and
// all faults are reported at once.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
)

// Version is the release that --version prints.
const Version = "0.1.0"

const envPrefix = "BANYAN"

// ErrDone means that the program has printed what was asked and should exit
// with status 0.
var ErrDone = errors.New("done")

// Set is the flag set of one program.
type Set struct {
	*flag.FlagSet
	checks        []func() error
	printVersion  *bool
	printSettings *bool
	secret        map[string]bool
}

// New returns the flag set of a program, with the flags that all share.
func New(program, summary string) *Set {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	s := &Set{FlagSet: fs, secret: make(map[string]bool)}
	s.printVersion = fs.Bool("version", false, "print the version and exit")
	s.printSettings = fs.Bool("print-settings", false, "print the settings in force and exit")
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "%s: %s\n\nFlags (each also as environment variable %s_NAME):\n", program, summary, envPrefix)
		fs.PrintDefaults()
	}
	return s
}

// Secret marks a flag whose value is never printed.
func (s *Set) Secret(name string) { s.secret[name] = true }

// Check adds a condition on the parsed values.
func (s *Set) Check(f func() error) { s.checks = append(s.checks, f) }

// RequireAddress checks that a flag holds host:port.
func (s *Set) RequireAddress(name string, value *string) {
	s.Check(func() error {
		if _, _, err := net.SplitHostPort(*value); err != nil {
			return errors.Newf("-%s: %q is not host:port", name, *value)
		}
		return nil
	})
}

// RequireText checks that a flag is not empty.
func (s *Set) RequireText(name string, value *string) {
	s.Check(func() error {
		if strings.TrimSpace(*value) == "" {
			return errors.Newf("-%s must be set", name)
		}
		return nil
	})
}

// Parse reads args and the environment and runs all checks. ErrDone means
// that output was printed instead; any other error names every fault.
func (s *Set) Parse(args []string, out io.Writer) error {
	s.SetOutput(out)
	if err := ff.Parse(s.FlagSet, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ErrDone
		}
		return err
	}
	if *s.printVersion {
		fmt.Fprintf(out, "%s %s\n", s.Name(), Version)
		return ErrDone
	}
	if s.NArg() > 0 {
		return errors.Newf("unexpected argument %q", s.Arg(0))
	}
	if faults := s.runChecks(); len(faults) > 0 {
		return errors.Newf("%d faults in the settings:\n  %s", len(faults), strings.Join(faults, "\n  "))
	}
	if *s.printSettings {
		s.print(out)
		return ErrDone
	}
	return nil
}

func (s *Set) runChecks() []string {
	var faults []string
	for _, check := range s.checks {
		if err := check(); err != nil {
			faults = append(faults, err.Error())
		}
	}
	return faults
}

func (s *Set) print(out io.Writer) {
	s.VisitAll(func(f *flag.Flag) {
		value := f.Value.String()
		if s.secret[f.Name] && value != "" {
			value = "(hidden)"
		}
		fmt.Fprintf(out, "%s=%q\n", f.Name, value)
	})
}

// Exit ends a program after a failed Parse or run: 0 for ErrDone, 2 else.
func Exit(program string, err error) {
	if err == nil || errors.Is(err, ErrDone) {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(2)
}

// List splits a comma-separated value and drops empty parts.
func List(value string) []string {
	var parts []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// ListenOptional opens a TCP listener, or returns nil when addr is empty.
func ListenOptional(addr string) (net.Listener, error) {
	if addr == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}
