package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// valid returns a document with two services, three routes and two workspaces.
func valid() *Document {
	return &Document{
		Version:  7,
		Services: []Service{{Name: "llm", Slots: 8}, {Name: "cards"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: Idempotent, Timeout: time.Second, Shares: []Share{{"cards", 1}}},
			{Name: "ask", Host: "a.example", Prefix: "/ask/", Kind: Stream, Timeout: time.Second, Shares: []Share{{"llm", 90}, {"cards", 10}}},
			{Name: "deep", Host: "a.example", Prefix: "/ask/deep/", Kind: Stream, Timeout: time.Second, Shares: []Share{{"llm", 0}, {"cards", 1}}},
		},
		Workspaces: []Workspace{{Name: "w1", Keys: []string{"k1", "k2"}}, {Name: "w2", Keys: []string{"k3"}}},
	}
}

func TestInvalidDocumentsAreRejected(t *testing.T) {
	require.NoError(t, valid().Validate())
	cases := map[string]func(d *Document){
		"unknown service":           func(d *Document) { d.Routes[0].Shares[0].Service = "none" },
		"duplicate host and prefix": func(d *Document) { d.Routes[2].Prefix = "/ask/" },
		"duplicate host and prefix in another case": func(d *Document) {
			d.Routes[2].Prefix = "/ask/"
			d.Routes[2].Host = "A.Example"
		},
		"no weight":                     func(d *Document) { d.Routes[0].Shares[0].Weight = 0 },
		"no shares":                     func(d *Document) { d.Routes[0].Shares = nil },
		"negative weight":               func(d *Document) { d.Routes[1].Shares[1].Weight = -1 },
		"no timeout":                    func(d *Document) { d.Routes[1].Timeout = 0 },
		"shared key":                    func(d *Document) { d.Workspaces[1].Keys = []string{"k2"} },
		"prefix without trailing slash": func(d *Document) { d.Routes[1].Prefix = "/ask" },
		"service twice":                 func(d *Document) { d.Services[1].Name = "llm" },
	}
	for name, mutate := range cases {
		t.Run(name, func(t *testing.T) {
			d := valid()
			mutate(d)
			assert.Error(t, d.Validate())
		})
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := Compile(valid())
	cases := []struct{ host, path, want string }{
		{"a.example", "/ask/deep/1", "deep"},
		{"a.example:8080", "/ask/deeper", "ask"},
		{"A.EXAMPLE", "/ask/", "ask"},
		{"a.example", "/ask", "all"},
		{"a.example", "/", "all"},
		{"b.example", "/ask/", ""},
		{"a.example", "", ""},
	}
	for _, c := range cases {
		r := table.Route(c.host, c.path)
		if c.want == "" {
			assert.Nil(t, r, c)
			continue
		}
		require.NotNil(t, r, c)
		assert.Equal(t, c.want, r.Name, c)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	table := Compile(valid())
	ask := table.Route("a.example", "/ask/x")
	assert.Equal(t, "llm", ask.Pick(0))
	assert.Equal(t, "llm", ask.Pick(0.899))
	assert.Equal(t, "cards", ask.Pick(0.901))
	assert.Equal(t, "cards", ask.Pick(1))
	assert.Equal(t, "cards", table.Route("a.example", "/ask/deep/").Pick(0))
}

func TestKeys(t *testing.T) {
	table := Compile(valid())
	assert.True(t, table.RequiresKeys())
	assert.Equal(t, "w1", table.WorkspaceByKey("k2").Name)
	assert.Nil(t, table.WorkspaceByKey(""))
	assert.Nil(t, table.WorkspaceByKey("k9"))
	assert.False(t, Compile(&Document{}).RequiresKeys())
}
