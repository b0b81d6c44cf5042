// Package settings parses a program's command-line flags. A flag that is not
// given takes its value from the BANYAN_* environment variable of the same name.
// Programs register their own checks; Parse reports all failed checks at once.
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

// Version is the release version that --version prints.
const Version = "0.1.0"

const envPrefix = "BANYAN"

// ErrDone means that Parse has printed the help, version or settings that were
// asked for and the program should exit with status 0.
var ErrDone = errors.New("done")

// Set is the flag set of one program.
type Set struct {
	*flag.FlagSet
	checks        []func() error
	printVersion  *bool
	printSettings *bool
	secretFlags   map[string]bool
}

// New returns the flag set of a program with the flags that all programs share.
// summary describes the program in its help text.
func New(program, summary string) *Set {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	s := &Set{FlagSet: fs, secretFlags: make(map[string]bool)}
	s.printVersion = fs.Bool("version", false, "print the version and exit")
	s.printSettings = fs.Bool("print-settings", false, "print the effective settings and exit")
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "%s: %s\n\nFlags (each can also be set by the environment variable %s_NAME):\n", program, summary, envPrefix)
		fs.PrintDefaults()
	}
	return s
}

// MarkSecret marks a flag whose value -print-settings hides.
func (s *Set) MarkSecret(name string) { s.secretFlags[name] = true }

// AddCheck registers a validation that Parse runs on the parsed values.
func (s *Set) AddCheck(f func() error) { s.checks = append(s.checks, f) }

// RequireAddress checks that a flag holds host:port.
func (s *Set) RequireAddress(name string, value *string) {
	s.AddCheck(func() error {
		if _, _, err := net.SplitHostPort(*value); err != nil {
			return errors.Newf("-%s: %q is not host:port", name, *value)
		}
		return nil
	})
}

// RequireNonEmpty checks that a flag is not blank.
func (s *Set) RequireNonEmpty(name string, value *string) {
	s.AddCheck(func() error {
		if strings.TrimSpace(*value) == "" {
			return errors.Newf("-%s must be set", name)
		}
		return nil
	})
}

// Parse reads args and the environment and runs all checks. It returns ErrDone if
// it printed help, version or settings instead; the error of failed checks lists
// all of them.
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
	if failures := s.runChecks(); len(failures) > 0 {
		return errors.Newf("%d invalid settings:\n  %s", len(failures), strings.Join(failures, "\n  "))
	}
	if *s.printSettings {
		s.print(out)
		return ErrDone
	}
	return nil
}

func (s *Set) runChecks() []string {
	var failures []string
	for _, check := range s.checks {
		if err := check(); err != nil {
			failures = append(failures, err.Error())
		}
	}
	return failures
}

func (s *Set) print(out io.Writer) {
	s.VisitAll(func(f *flag.Flag) {
		value := f.Value.String()
		if s.secretFlags[f.Name] && value != "" {
			value = "(hidden)"
		}
		fmt.Fprintf(out, "%s=%q\n", f.Name, value)
	})
}

// Exit ends the program: with status 0 if err is nil or ErrDone, else it prints
// err and exits with status 2.
func Exit(program string, err error) {
	if err == nil || errors.Is(err, ErrDone) {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(2)
}

// SplitList splits a comma-separated value and drops empty parts.
func SplitList(value string) []string {
	var parts []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// ListenOptional opens a TCP listener. It returns nil if addr is empty.
func ListenOptional(addr string) (net.Listener, error) {
	if addr == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}
