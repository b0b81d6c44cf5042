package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"banyanwalk/infra/settings"
	"banyanwalk/infra/tlsconf"
	"banyanwalk/services/control/adminclient"
)

const (
	envPrefix      = "BANYAN"
	defaultAddr    = "127.0.0.1:7401"
	defaultTimeout = 15 * time.Second
	outputText     = "text"
	outputJSON     = "json"
)

var errHelpPrinted = errors.New("help was printed")

// command describes a subcommand of banyanctl.
type command struct {
	path          []string // the words of its name, such as "bundle", "roll"
	argUsage      string   // placeholder in the usage line, such as FILE
	argCount      int      // required number of arguments; -1: at least one
	summary       string
	needsControl  bool // sends requests to control hosts and has the flags for that
	registerFlags func(c *invocation)
	run           func(c *invocation) error
}

func (c *command) name() string { return strings.Join(c.path, " ") }

func commands() []command {
	return slices.Concat(bundleCommands(), markCommands(), statusCommands(), siteCommands(), rolloutCommands(), timelineCommands())
}

// findCommand returns the command whose name args start with, and the remaining
// args. "datacentre" is accepted as an alias of "data-centre".
func findCommand(list []command, args []string) (*command, []string, bool) {
	words := slices.Clone(args)
	if words[0] == "datacentre" {
		words[0] = "data-centre"
	}
	for i := range list {
		n := len(list[i].path)
		if len(words) >= n && slices.Equal(list[i].path, words[:n]) {
			return &list[i], words[n:], true
		}
	}
	return nil, nil, false
}

func printCommands(out io.Writer, list []command) {
	fmt.Fprintf(out, "%s %s: command-line tool for operators\n\n", program, settings.Version)
	for _, c := range list {
		fmt.Fprintf(out, "  %-34s %s\n", c.name()+" "+c.argUsage, c.summary)
	}
	fmt.Fprintf(out, "\n%s COMMAND -h lists the flags of a command.\n", program)
	fmt.Fprintf(out, "Exit codes: %d success, %d failed or refused, %d usage error, %d no control host reachable.\n",
		exitOK, exitFailure, exitUsage, exitUnreachable)
}

// invocation is one run of a command: its parsed flags and arguments.
type invocation struct {
	command *command
	out     io.Writer
	flagSet *flag.FlagSet
	args    []string

	output    string
	addrs     string
	token     string
	requestID string
	caFile    string
	timeout   time.Duration
	options   commandOptions
}

// commandOptions are the values of the flags that only some commands have.
type commandOptions struct {
	operator, key, outFile      string
	unsigned, source            bool
	kind, value                 string
	request, job, target, since string
	service                     string
	duration                    time.Duration
}

func newInvocation(cmd *command, out io.Writer) *invocation {
	c := &invocation{command: cmd, out: out, flagSet: flag.NewFlagSet(cmd.name(), flag.ContinueOnError)}
	c.flagSet.StringVar(&c.output, "output", outputText, "output format: text or json")
	if cmd.needsControl {
		c.flagSet.StringVar(&c.addrs, "addr", defaultAddr, "HTTP addresses for operators on the control hosts, comma-separated")
		c.flagSet.StringVar(&c.token, "operator-token", "", "operator token; prefer the environment variable BANYAN_OPERATOR_TOKEN")
		c.flagSet.StringVar(&c.requestID, "request-id", "", "id of the request; repeat an earlier id to get the response of that request")
		c.flagSet.StringVar(&c.caFile, "tls-ca", "", "PEM certificates to trust; empty: connections without TLS")
		c.flagSet.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout for all attempts together")
	}
	if cmd.registerFlags != nil {
		cmd.registerFlags(c)
	}
	c.flagSet.SetOutput(io.Discard)
	return c
}

// parse reads flags and arguments. Flags may come before or after arguments.
func (c *invocation) parse(args []string) error {
	for {
		if err := ff.Parse(c.flagSet, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				c.printHelp()
				return errHelpPrinted
			}
			return err
		}
		args = c.flagSet.Args()
		if len(args) == 0 {
			break
		}
		c.args = append(c.args, args[0])
		args = args[1:]
	}
	return c.validate()
}

func (c *invocation) validate() error {
	if c.output != outputText && c.output != outputJSON {
		return usageErrorf("-output %q is neither %s nor %s", c.output, outputText, outputJSON)
	}
	if c.command.argCount >= 0 && len(c.args) != c.command.argCount || c.command.argCount < 0 && len(c.args) == 0 {
		return usageErrorf("want arguments: %s", c.command.argUsage)
	}
	if c.command.needsControl && len(settings.SplitList(c.addrs)) == 0 {
		return usageErrorf("-addr contains no control host address")
	}
	return nil
}

func (c *invocation) printHelp() {
	fmt.Fprintf(c.out, "%s %s %s: %s\n\nFlags (each also as environment variable %s_NAME):\n",
		program, c.command.name(), c.command.argUsage, c.command.summary, envPrefix)
	c.flagSet.SetOutput(c.out)
	c.flagSet.PrintDefaults()
}

// client returns a client for the control hosts.
func (c *invocation) client() (*adminclient.Client, error) {
	tlsConfig, err := tlsconf.ClientConfig(c.caFile)
	if err != nil {
		return nil, usageErrorf("-tls-ca: %v", err)
	}
	return adminclient.New(adminclient.Config{
		Addrs:     settings.SplitList(c.addrs),
		Token:     c.token,
		RequestID: c.requestID,
		TLS:       tlsConfig,
		Timeout:   c.timeout,
	}), nil
}

// print writes the result as JSON, or as text with writeText, depending on
// -output.
func (c *invocation) print(result any, writeText func(out io.Writer)) error {
	if c.output == outputText {
		writeText(c.out)
		return nil
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
