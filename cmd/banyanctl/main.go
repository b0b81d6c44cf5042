// Command banyanctl is the command-line tool for operators. It validates and signs
// bundles, puts them in force, takes data centres and targets out of service and
// back, and shows the state of the fleet and the timeline of its events.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/services/control/adminclient"
)

const program = "banyanctl"

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || isHelp(args[0]) {
		printCommands(out, commands())
		return exitOK
	}
	cmd, rest, ok := findCommand(commands(), args)
	if !ok {
		fmt.Fprintf(errOut, "%s: unknown command %q; see %s help\n", program, args, program)
		return exitUsage
	}
	c := newInvocation(cmd, out)
	if err := c.parse(rest); err != nil {
		if errors.Is(err, errHelpPrinted) {
			return exitOK
		}
		fmt.Fprintf(errOut, "%s %s: %v\n", program, cmd.name(), err)
		return exitUsage
	}
	err := cmd.run(c)
	if err != nil {
		printError(errOut, c.output, err)
	}
	return exitCode(err)
}

// printError writes an error as text. With -output json, an error that has a
// result code is written like the JSON error body of the operators' HTTP API.
func printError(errOut io.Writer, output string, err error) {
	var refused *outcome.Error
	if output == outputJSON && errors.As(err, &refused) {
		_ = json.NewEncoder(errOut).Encode(httpapi.NewErrorBody(refused, ""))
		return
	}
	fmt.Fprintf(errOut, "%s: %v\n", program, err)
}

func isHelp(arg string) bool {
	return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help"
}

// errUsage marks errors in flags and arguments, including files that cannot be read.
var errUsage = errors.New("usage")

// usageErrorf returns an error that ends the program with exitUsage.
func usageErrorf(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

func exitCode(err error) int {
	var unreachable *adminclient.UnreachableError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &unreachable), outcome.IsCode(err, outcome.Unreachable):
		return exitUnreachable
	default:
		return exitFailure
	}
}
