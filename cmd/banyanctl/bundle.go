package main

import (
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/bundle"
	"banyanwalk/services/control"
)

const (
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

func bundleCommands() []command {
	signFlags := func(c *invocation) {
		c.flagSet.StringVar(&c.options.operator, "operator", "", "name of the signing operator")
		c.flagSet.StringVar(&c.options.key, "key", "", "file with the operator's private key")
	}
	outFlag := func(c *invocation) {
		c.flagSet.StringVar(&c.options.outFile, "out", "", "file to write")
	}
	return []command{
		{path: []string{"bundle", "check"}, argUsage: "FILE", argCount: 1, summary: "validate a bundle and list all of its faults", run: checkBundle},
		{path: []string{"bundle", "keygen"}, summary: "create an operator's key pair", run: generateKey, registerFlags: func(c *invocation) {
			c.flagSet.StringVar(&c.options.operator, "operator", "", "name of the operator")
			outFlag(c)
		}},
		{path: []string{"bundle", "sign"}, argUsage: "FILE", argCount: 1, summary: "sign a bundle", run: signBundle, registerFlags: func(c *invocation) {
			signFlags(c)
			outFlag(c)
		}},
		{path: []string{"bundle", "roll"}, argUsage: "FILE", argCount: 1, summary: "put a bundle in force", needsControl: true, run: rollBundle, registerFlags: func(c *invocation) {
			signFlags(c)
			c.flagSet.BoolVar(&c.options.unsigned, "unsigned", false, "roll without a signature; the control hosts must allow unsigned bundles")
		}},
		{path: []string{"bundle", "show"}, summary: "show the bundle in force", needsControl: true, run: showBundle, registerFlags: func(c *invocation) {
			c.flagSet.BoolVar(&c.options.source, "source", false, "print the source only")
		}},
		{path: []string{"bundle", "history"}, summary: "list the bundles that have been in force", needsControl: true, run: bundleHistory},
	}
}

// checkResult is the output of "bundle check".
type checkResult struct {
	Digest  string         `json:"digest"`
	Version uint64         `json:"version,omitempty"`
	Faults  []bundle.Fault `json:"faults"`
}

func checkBundle(c *invocation) error {
	source, err := os.ReadFile(c.args[0])
	if err != nil {
		return usageErrorf("%v", err)
	}
	doc, faults := bundle.Parse(source)
	result := checkResult{Digest: bundle.Digest(source), Faults: faults}
	if doc != nil {
		result.Version = doc.Version
		result.Faults = []bundle.Fault{}
	}
	err = c.print(result, func(out io.Writer) {
		for _, f := range faults {
			fmt.Fprintf(out, "%s: %s\n", c.args[0], f)
		}
		if doc != nil {
			fmt.Fprintf(out, "version %d, digest %s: no faults\n", doc.Version, result.Digest)
		}
	})
	if err == nil && len(faults) > 0 {
		return errors.Newf("%s has %d faults", c.args[0], len(faults))
	}
	return err
}

func generateKey(c *invocation) error {
	if c.options.operator == "" || c.options.outFile == "" {
		return usageErrorf("-operator and -out must be set")
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	file, err := os.OpenFile(c.options.outFile, os.O_CREATE|os.O_EXCL|os.O_WRONLY, privateFileMode)
	if err != nil {
		return usageErrorf("%v", err)
	}
	defer file.Close()
	if _, err := fmt.Fprintln(file, hex.EncodeToString(private.Seed())); err != nil {
		return errors.Wrap(err, "write key")
	}
	trusted := c.options.operator + "=" + hex.EncodeToString(public)
	return c.print(struct {
		TrustedOperator string `json:"trusted_operator"`
	}{trusted}, func(out io.Writer) {
		fmt.Fprintf(out, "for -trusted-operators of banyan-control: %s\n", trusted)
	})
}

func readKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, usageErrorf("%s does not contain a private key written by bundle keygen", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// validateAndSign validates a bundle source and signs it with the operator's key.
func validateAndSign(c *invocation, source []byte) (bundle.Signed, error) {
	if c.options.operator == "" || c.options.key == "" {
		return bundle.Signed{}, usageErrorf("-operator and -key must be set")
	}
	key, err := readKey(c.options.key)
	if err != nil {
		return bundle.Signed{}, err
	}
	if _, err := bundle.Load(source); err != nil {
		return bundle.Signed{}, err
	}
	return bundle.Sign(source, c.options.operator, key), nil
}

func signBundle(c *invocation) error {
	source, err := os.ReadFile(c.args[0])
	if err != nil {
		return usageErrorf("%v", err)
	}
	signed, err := validateAndSign(c, source)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(signed)
	if err != nil {
		return errors.Wrap(err, "encode signed bundle")
	}
	if c.options.outFile == "" {
		_, err = fmt.Fprintf(c.out, "%s\n", encoded)
		return err
	}
	return errors.Wrap(os.WriteFile(c.options.outFile, append(encoded, '\n'), publicFileMode), "write signed bundle")
}

// loadSigned reads the file argument. A signed bundle is returned as it is; a
// bundle source is signed first, or left unsigned with -unsigned.
func loadSigned(c *invocation) (bundle.Signed, error) {
	content, err := os.ReadFile(c.args[0])
	if err != nil {
		return bundle.Signed{}, usageErrorf("%v", err)
	}
	var signed bundle.Signed
	if json.Unmarshal(content, &signed) == nil && len(signed.Source) > 0 {
		return signed, nil
	}
	if c.options.unsigned {
		return bundle.Signed{Source: content}, nil
	}
	return validateAndSign(c, content)
}

func rollBundle(c *invocation) error {
	signed, err := loadSigned(c)
	if err != nil {
		return err
	}
	_, err = postCommand(c, "/bundles", signed, func(response *control.CommandResponse) string {
		return fmt.Sprintf("version %d with digest %s is in force from revision %d", response.Version, response.Digest, response.Revision)
	})
	return err
}

// postCommand posts a request to the control hosts and prints the response,
// which summarize turns into one line for the text output.
func postCommand[Response any](c *invocation, path string, body any, summarize func(*Response) string) (*Response, error) {
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	response := new(Response)
	if err := client.Post(path, body, response); err != nil {
		return nil, err
	}
	return response, c.print(response, func(out io.Writer) { fmt.Fprintln(out, summarize(response)) })
}

func showBundle(c *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var current control.CurrentBundle
	if err := client.Get("/bundles/current", &current); err != nil {
		return err
	}
	if c.options.source {
		_, err := c.out.Write(current.Signed.Source)
		return err
	}
	return c.print(current, func(out io.Writer) {
		fmt.Fprintf(out, "version %d\ndigest %s\noperator %s\nin force from revision %d, %s\n",
			current.Version, current.Digest, orDash(current.Operator), current.Revision, formatTime(current.AtMS))
	})
}

func bundleHistory(c *invocation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var history control.History
	if err := client.Get("/bundles/history", &history); err != nil {
		return err
	}
	return c.print(history, func(out io.Writer) {
		table := newTable(out, "VERSION", "REVISION", "TIME", "OPERATOR", "DIGEST")
		for _, b := range history.Bundles {
			table.row(b.Version, b.Revision, formatTime(b.AtMS), orDash(b.Operator), b.Digest)
		}
		table.flush()
	})
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// orDash returns the text, or "-" as the placeholder of an empty table cell.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
