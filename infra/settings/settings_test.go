package settings

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func testSet() (*Set, *string, *string) {
	s := New("banyan-test", "a program")
	listen := s.String("listen", "", "host:port")
	token := s.String("token", "", "a secret")
	s.MarkSecret("token")
	s.RequireAddress("listen", listen)
	s.RequireNonEmpty("token", token)
	return s, listen, token
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	t.Setenv("BANYAN_LISTEN", "127.0.0.1:1")
	t.Setenv("BANYAN_TOKEN", "from-env")
	s, listen, token := testSet()
	require.NoError(t, s.Parse([]string{"-listen", "127.0.0.1:2"}, &bytes.Buffer{}))
	assert.Equal(t, "127.0.0.1:2", *listen)
	assert.Equal(t, "from-env", *token)
}

func TestAllFailedChecksAreReportedAtOnce(t *testing.T) {
	s, _, _ := testSet()
	err := s.Parse([]string{"-listen", "nonsense"}, &bytes.Buffer{})
	require.Error(t, err)
	assert.Contains(t, err.Error(), `-listen: "nonsense" is not host:port`)
	assert.Contains(t, err.Error(), "-token must be set")
}

func TestPrintSettingsHidesSecrets(t *testing.T) {
	s, _, _ := testSet()
	var out bytes.Buffer
	err := s.Parse([]string{"-listen", "127.0.0.1:2", "-token", "s3cret", "-print-settings"}, &out)
	require.ErrorIs(t, err, ErrDone)
	assert.NotContains(t, out.String(), "s3cret")
	assert.Contains(t, out.String(), `listen="127.0.0.1:2"`)
}

func TestUnknownFlagAndExtraArgumentFail(t *testing.T) {
	for _, args := range [][]string{{"-nonsense"}, {"-listen", "127.0.0.1:1", "-token", "x", "extra"}} {
		s, _, _ := testSet()
		assert.Error(t, s.Parse(args, &bytes.Buffer{}))
	}
}

func TestVersion(t *testing.T) {
	s, _, _ := testSet()
	var out bytes.Buffer
	require.ErrorIs(t, s.Parse([]string{"--version"}, &out), ErrDone)
	assert.Equal(t, "banyan-test "+Version+"\n", out.String())
}
