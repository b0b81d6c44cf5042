package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"banyanwalk/infra/settings"
)

func TestOptionValidation(t *testing.T) {
	const validArgs = "-id 2 -peers 1=h1:7400,2=h2:7400 -data-dir d"
	cases := []struct{ args, want string }{
		{validArgs, ""},
		{validArgs + " -id 3", "-id 3 is not among -peers"},
		{validArgs + " -peers 1=h1:7400,1=h2:7400", "appears twice"},
		{validArgs + " -peers 0=h1:7400", "number from 1"},
		{validArgs + " -peers 1=h1", "not host:port"},
		{validArgs + " -operator-tokens secret", "SHA-256 digest"},
		{validArgs + " -trusted-operators ilze", "-trusted-operators"},
		{validArgs + " -batch-shards 0", "-batch-shards"},
		{"-id 1 -peers 1=h1:7400", "-data-dir must be set"},
	}
	for _, c := range cases {
		var o options
		set := settings.New(program, "test")
		o.register(set)
		err := set.Parse(strings.Fields(c.args), &bytes.Buffer{})
		if c.want == "" {
			require.NoError(t, err, c.args)
			continue
		}
		require.ErrorContains(t, err, c.want, c.args)
	}
}
