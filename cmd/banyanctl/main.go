// Command banyanctl is the operators' tool: it checks, signs and rolls bundles,
// takes data centres and targets out of service and back, and shows the state
// and the time line of the fleet.
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
	exitRefused     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || isHelp(args[0]) {
		printCommands(out, commands())
		return exitOK
	}
	found, rest, ok := find(commands(), args)
	if !ok {
		fmt.Fprintf(errOut, "%s: unknown command %q; see %s help\n", program, args, program)
		return exitUsage
	}
	c := newInvocation(found, out)
	if err := c.parse(rest); err != nil {
		if errors.Is(err, errHelp) {
			return exitOK
		}
		fmt.Fprintf(errOut, "%s %s: %v\n", program, found.name(), err)
		return exitUsage
	}
	err := found.run(c)
	if err != nil {
		printError(errOut, c.output, err)
	}
	return exitCode(err)
}

// printError writes an error as text, or as JSON in the shape of the operators'
// HTTP when it is a refusal.
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

// errUsage marks errors in the use of a command.
var errUsage = errors.New("usage")

func usage(format string, args ...any) error {
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
		return exitRefused
	}
}
