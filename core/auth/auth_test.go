package auth

import (
	"fmt"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"banyanwalk/core/outcome"
)

func TestBearerKey(t *testing.T) {
	for header, want := range map[string]string{
		"Bearer k1":     "k1",
		"bearer  k1 ":   "k1",
		"BEARER a b":    "a b",
		"":              "",
		"Bearer":        "",
		"Bearer ":       "",
		"Basic dXNlcjo": "",
		"k1":            "",
	} {
		key, err := BearerKey(header)
		require.Equal(t, want, key, header)
		require.Equal(t, want == "", outcome.IsCode(err, outcome.KeyMissing), header)
	}
	_, err := BearerKey("Bearer " + strings.Repeat("k", maxKeyBytes+1))
	require.True(t, outcome.IsCode(err, outcome.KeyUnknown))
}

func TestMayForwardHeader(t *testing.T) {
	require.True(t, MayForwardHeader("Content-Type", "application/json", "secret"))
	for _, name := range []string{"Authorization", "X-Api-Key", "Cookie", "X-Banyan-Workspace", "X-Request-Id", "Forwarded"} {
		require.False(t, MayForwardHeader(name, "x", "secret"), name)
	}
	require.False(t, MayForwardHeader("Accept", "text/secret", "secret"))
	require.False(t, MayForwardHeader("Accept", "text/%73ecret", "secret"))
}

func TestFilteredQueryNeverContainsKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[a-z+%/ -]{4,12}`).Draw(t, "key")
		name := rapid.SampledFrom([]string{"q", "API_KEY", "x", key}).Draw(t, "name")
		raw := "a=1&" + url.QueryEscape(name) + "=" + url.QueryEscape("v"+key+"w") + "&" + url.QueryEscape(key) + "=2"
		forwarded := FilterQuery(raw, key)
		values, err := url.ParseQuery(forwarded)
		require.NoError(t, err)
		for name, list := range values {
			require.NotContains(t, name, key)
			require.False(t, anyContainsKey(list, key))
		}
	})
	require.Equal(t, "a=1", FilterQuery("a=1&token=zzz", "k"))
	require.Empty(t, FilterQuery("a=%zz", "k"))
}

func TestBodyContainsEscapedKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[A-Za-z0-9_./-]{6,20}`).Draw(t, "key")
		var jsonText, formText strings.Builder
		for _, c := range []byte(key) {
			if rapid.Bool().Draw(t, "escape") {
				fmt.Fprintf(&jsonText, `\u%04x`, c)
				fmt.Fprintf(&formText, "%%%02X", c)
				continue
			}
			jsonText.WriteByte(c)
			formText.WriteByte(c)
		}
		require.True(t, BodyContainsKey([]byte(`{"a":"\n`+jsonText.String()+`"}`), key))
		require.True(t, BodyContainsKey([]byte("a=%zz&b="+formText.String()), key))
		require.False(t, BodyContainsKey([]byte(`{"a":"\u0020%20"}`), key))
		require.False(t, BodyContainsKey([]byte(jsonText.String()), ""))
	})
}

func TestIsCanonicalPath(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/v1/services/dispatch/visits/7.json", "/"} {
		require.True(t, IsCanonicalPath(path), path)
	}
	for _, path := range []string{"", "v1", "/a//b", "/a/../b", "/a/./b", "/a%2fb", `/a\b`, "/a;b"} {
		require.False(t, IsCanonicalPath(path), path)
	}
}

func BenchmarkKeyDigest(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		KeyDigest("bw-0123456789abcdef0123456789abcdef")
	}
}
