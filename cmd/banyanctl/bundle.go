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
		c.set.StringVar(&c.extra.operator, "operator", "", "name of the signing operator")
		c.set.StringVar(&c.extra.key, "key", "", "file with the operator's private key")
	}
	outFlag := func(c *invocation) {
		c.set.StringVar(&c.extra.outFile, "out", "", "file to write")
	}
	return []command{
		{path: []string{"bundle", "check"}, arguments: "FILE", count: 1, summary: "list all faults of a bundle", run: checkBundle},
		{path: []string{"bundle", "keygen"}, summary: "create an operator's key pair", run: generateKey, flags: func(c *invocation) {
			c.set.StringVar(&c.extra.operator, "operator", "", "name of the operator")
			outFlag(c)
		}},
		{path: []string{"bundle", "sign"}, arguments: "FILE", count: 1, summary: "sign a bundle", run: signBundle, flags: func(c *invocation) {
			signFlags(c)
			outFlag(c)
		}},
		{path: []string{"bundle", "roll"}, arguments: "FILE", count: 1, summary: "put a bundle in force", remote: true, run: rollBundle, flags: func(c *invocation) {
			signFlags(c)
			c.set.BoolVar(&c.extra.unsigned, "unsigned", false, "roll without a signature; control must allow it")
		}},
		{path: []string{"bundle", "show"}, summary: "show the bundle in force", remote: true, run: showBundle, flags: func(c *invocation) {
			c.set.BoolVar(&c.extra.source, "source", false, "print the source only")
		}},
		{path: []string{"bundle", "history"}, summary: "list the bundles that were in force", remote: true, run: bundleHistory},
	}
}

// checkAnswer is the answer of bundle check.
type checkAnswer struct {
	Digest  string         `json:"digest"`
	Version uint64         `json:"version,omitempty"`
	Faults  []bundle.Fault `json:"faults"`
}

func checkBundle(c *invocation) error {
	source, err := os.ReadFile(c.args[0])
	if err != nil {
		return usage("%v", err)
	}
	doc, faults := bundle.Parse(source)
	answer := checkAnswer{Digest: bundle.Digest(source), Faults: faults}
	if doc != nil {
		answer.Version = doc.Version
		answer.Faults = []bundle.Fault{}
	}
	err = c.print(answer, func(out io.Writer) {
		for _, f := range faults {
			fmt.Fprintf(out, "%s: %s\n", c.args[0], f)
		}
		if doc != nil {
			fmt.Fprintf(out, "version %d, digest %s: no faults\n", doc.Version, answer.Digest)
		}
	})
	if err == nil && len(faults) > 0 {
		return errors.Newf("%s has %d faults", c.args[0], len(faults))
	}
	return err
}

func generateKey(c *invocation) error {
	if c.extra.operator == "" || c.extra.outFile == "" {
		return usage("-operator and -out must be set")
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	file, err := os.OpenFile(c.extra.outFile, os.O_CREATE|os.O_EXCL|os.O_WRONLY, privateFileMode)
	if err != nil {
		return usage("%v", err)
	}
	defer file.Close()
	if _, err := fmt.Fprintln(file, hex.EncodeToString(private.Seed())); err != nil {
		return errors.Wrap(err, "write key")
	}
	trusted := c.extra.operator + "=" + hex.EncodeToString(public)
	return c.print(struct {
		TrustedOperator string `json:"trusted_operator"`
	}{trusted}, func(out io.Writer) {
		fmt.Fprintf(out, "for -trusted-operators of banyan-control: %s\n", trusted)
	})
}

func readKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usage("%v", err)
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, usage("%s holds no private key written by bundle keygen", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// signFile checks and signs the source in a file.
func signFile(c *invocation, source []byte) (bundle.Signed, error) {
	if c.extra.operator == "" || c.extra.key == "" {
		return bundle.Signed{}, usage("-operator and -key must be set")
	}
	key, err := readKey(c.extra.key)
	if err != nil {
		return bundle.Signed{}, err
	}
	if _, err := bundle.Load(source); err != nil {
		return bundle.Signed{}, err
	}
	return bundle.Sign(source, c.extra.operator, key), nil
}

func signBundle(c *invocation) error {
	source, err := os.ReadFile(c.args[0])
	if err != nil {
		return usage("%v", err)
	}
	signed, err := signFile(c, source)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(signed)
	if err != nil {
		return errors.Wrap(err, "encode signed bundle")
	}
	if c.extra.outFile == "" {
		_, err = fmt.Fprintf(c.out, "%s\n", encoded)
		return err
	}
	return errors.Wrap(os.WriteFile(c.extra.outFile, append(encoded, '\n'), publicFileMode), "write signed bundle")
}

// readSigned reads a signed bundle, or signs a source on the fly.
func readSigned(c *invocation) (bundle.Signed, error) {
	content, err := os.ReadFile(c.args[0])
	if err != nil {
		return bundle.Signed{}, usage("%v", err)
	}
	var signed bundle.Signed
	if json.Unmarshal(content, &signed) == nil && len(signed.Source) > 0 {
		return signed, nil
	}
	if c.extra.unsigned {
		return bundle.Signed{Source: content}, nil
	}
	return signFile(c, content)
}

func rollBundle(c *invocation) error {
	signed, err := readSigned(c)
	if err != nil {
		return err
	}
	_, err = send(c, "/bundles", signed, func(answer *control.CommandResponse) string {
		return fmt.Sprintf("version %d with digest %s is in force from revision %d", answer.Version, answer.Digest, answer.Revision)
	})
	return err
}

// send posts a command and prints what it did.
func send[Answer any](c *invocation, path string, body any, text func(*Answer) string) (*Answer, error) {
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	answer := new(Answer)
	if err := client.Post(path, body, answer); err != nil {
		return nil, err
	}
	return answer, c.print(answer, func(out io.Writer) { fmt.Fprintln(out, text(answer)) })
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
	if c.extra.source {
		_, err := c.out.Write(current.Signed.Source)
		return err
	}
	return c.print(current, func(out io.Writer) {
		fmt.Fprintf(out, "version %d\ndigest %s\noperator %s\nin force from revision %d, %s\n",
			current.Version, current.Digest, orNone(current.Operator), current.Revision, wallTime(current.AtMS))
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
			table.row(b.Version, b.Revision, wallTime(b.AtMS), orNone(b.Operator), b.Digest)
		}
		table.flush()
	})
}

func wallTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
