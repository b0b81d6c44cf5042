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

var errHelp = errors.New("help was printed")

// command is one command of the tool.
type command struct {
	path      []string // words, such as bundle roll
	arguments string   // shown in the help, such as FILE
	count     int      // of arguments; -1: at least one
	summary   string
	remote    bool // talks to control hosts
	flags     func(c *invocation)
	run       func(c *invocation) error
}

func (c *command) name() string { return strings.Join(c.path, " ") }

func commands() []command {
	return slices.Concat(bundleCommands(), markCommands(), statusCommands(), siteCommands(), timelineCommands())
}

// find returns the command that args start with, and the remaining args.
func find(list []command, args []string) (*command, []string, bool) {
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
	fmt.Fprintf(out, "%s %s: operators' tool\n\n", program, settings.Version)
	for _, c := range list {
		fmt.Fprintf(out, "  %-34s %s\n", c.name()+" "+c.arguments, c.summary)
	}
	fmt.Fprintf(out, "\n%s COMMAND -h lists the flags of a command.\n", program)
	fmt.Fprintf(out, "Exit codes: %d done, %d refused, %d wrong use, %d no control host reached.\n",
		exitOK, exitRefused, exitUsage, exitUnreachable)
}

// invocation is one use of a command.
type invocation struct {
	command *command
	out     io.Writer
	set     *flag.FlagSet
	args    []string

	output    string
	addrs     string
	token     string
	requestID string
	caFile    string
	timeout   time.Duration
	extra     extraFlags
}

// extraFlags are those of single commands.
type extraFlags struct {
	operator, key, outFile      string
	unsigned, source            bool
	kind, value                 string
	request, job, target, since string
}

func newInvocation(found *command, out io.Writer) *invocation {
	c := &invocation{command: found, out: out, set: flag.NewFlagSet(found.name(), flag.ContinueOnError)}
	c.set.StringVar(&c.output, "output", outputText, "form of the answer: text or json")
	if found.remote {
		c.set.StringVar(&c.addrs, "addr", defaultAddr, "operators' HTTP addresses of the control hosts, comma-separated")
		c.set.StringVar(&c.token, "operator-token", "", "the operator's token; better given as BANYAN_OPERATOR_TOKEN")
		c.set.StringVar(&c.requestID, "request-id", "", "id of the request; give the earlier one to learn its answer")
		c.set.StringVar(&c.caFile, "tls-ca", "", "PEM certificates to trust; empty talks in the clear")
		c.set.DurationVar(&c.timeout, "timeout", defaultTimeout, "time for all attempts together")
	}
	if found.flags != nil {
		found.flags(c)
	}
	c.set.SetOutput(io.Discard)
	return c
}

// parse reads flags, which may stand before and after the arguments.
func (c *invocation) parse(args []string) error {
	for {
		if err := ff.Parse(c.set, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				c.help()
				return errHelp
			}
			return err
		}
		args = c.set.Args()
		if len(args) == 0 {
			break
		}
		c.args = append(c.args, args[0])
		args = args[1:]
	}
	return c.check()
}

func (c *invocation) check() error {
	if c.output != outputText && c.output != outputJSON {
		return usage("-output %q is neither %s nor %s", c.output, outputText, outputJSON)
	}
	if c.command.count >= 0 && len(c.args) != c.command.count || c.command.count < 0 && len(c.args) == 0 {
		return usage("want arguments: %s", c.command.arguments)
	}
	if c.command.remote && len(settings.SplitList(c.addrs)) == 0 {
		return usage("-addr names no control host")
	}
	return nil
}

func (c *invocation) help() {
	fmt.Fprintf(c.out, "%s %s %s: %s\n\nFlags (each also as environment variable %s_NAME):\n",
		program, c.command.name(), c.command.arguments, c.command.summary, envPrefix)
	c.set.SetOutput(c.out)
	c.set.PrintDefaults()
}

// client returns a client for the control hosts.
func (c *invocation) client() (*adminclient.Client, error) {
	tlsConfig, err := tlsconf.ClientConfig(c.caFile)
	if err != nil {
		return nil, usage("-tls-ca: %v", err)
	}
	return adminclient.New(adminclient.Config{
		Addrs:     settings.SplitList(c.addrs),
		Token:     c.token,
		RequestID: c.requestID,
		TLS:       tlsConfig,
		Timeout:   c.timeout,
	}), nil
}

// print writes the answer: as JSON, or through text.
func (c *invocation) print(answer any, text func(out io.Writer)) error {
	if c.output == outputText {
		text(c.out)
		return nil
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(answer)
}
