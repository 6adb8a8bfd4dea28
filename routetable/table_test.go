package routetable

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func testRoute(name, host, prefix string, clusters ...Cluster) Route {
	if len(clusters) == 0 {
		clusters = []Cluster{{Service: name, Weight: 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, Clusters: clusters}
}

// Guards against routing a request to a service of another host or of a shorter
// prefix, which shows only when a caller gets a wrong response.
func TestMatchPicksLongestPrefixOfHost(t *testing.T) {
	table := New(&Config{Version: 1, Routes: []Route{testRoute("a", "x.example", "/p/"), testRoute("b", "x.example", "/p/q/"), testRoute("c", "y.example", "/")}})
	for _, c := range []struct{ host, uri, want string }{
		{"x.example", "/p/1", "a"}, {"x.example", "/p/q/1", "b"}, {"X.Example:80", "/p/q/1?u=/p/", "b"}, {"x.example", "/p/q", "a"},
		{"y.example", "/p/q/1", "c"}, {"x.example", "/", ""}, {"x.example", "/p", ""}, {"z.example", "/p/1", ""}, {"x.example", "/z?/p/q/", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.uri); r != nil {
			got = r.Name
		}
		require.Equal(t, c.want, got, c)
	}
}

// Guards against a split that misses its shares in a short sequence of
// requests.
func TestSplitterKeepsSharesAtEveryStep(t *testing.T) {
	r := testRoute("a", "x", "/", Cluster{"u", 90}, Cluster{"v", 10}, Cluster{"w", 0})
	s := NewSplitter(rand.New(rand.NewPCG(1, 1)))
	counts := map[string]int{}
	for i := 1; i <= 1000; i++ {
		counts[s.Next(&r)]++
		require.InDelta(t, float64(i)*0.1, float64(counts["v"]), 1)
	}
	require.Zero(t, counts["w"])
}

// Guards against applying a damaged configuration.
func TestValidateReportsEveryFault(t *testing.T) {
	c := Config{Services: []Service{{Name: "u"}}, Routes: []Route{
		{Prefix: "p", MaxAttempts: -1, Timeout: -1, Clusters: []Cluster{{"other", -1}}},
		testRoute("ok", "x", "/", Cluster{"u", 1}),
	}}
	fields := map[string]bool{}
	for _, f := range c.Validate() {
		fields[f.Field] = true
	}
	for _, want := range []string{"version", "routes[0].host", "routes[0].prefix", "routes[0].max_attempts", "routes[0].timeout", "routes[0].clusters"} {
		require.True(t, fields[want], want)
	}
	require.Len(t, fields, 6)
}
