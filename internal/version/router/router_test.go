package router

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

func newTable(routes ...Route) *Table {
	for i := range routes {
		r := &routes[i]
		r.Timeout, r.LatencyObjective, r.MaxAttempts = time.Second, time.Second, 1
		if r.Services == nil {
			r.Services = []WeightedService{{Service: "s", Weight: 1}}
		}
	}
	return &Table{Version: 1, Routes: routes, Services: []Service{{Name: "s"}, {Name: "t"}}}
}

func TestMatchReturnsLongestPrefix(t *testing.T) {
	x := newTable(
		Route{Name: "root", Host: "h", Prefix: "/"},
		Route{Name: "a", Host: "h", Prefix: "/a/"},
		Route{Name: "ab", Host: "h", Prefix: "/a/b/"},
		Route{Name: "other", Host: "o", Prefix: "/a/b/c/"},
	)
	require.NoError(t, x.Prepare())
	for path, want := range map[string]string{
		"/": "root", "/a": "root", "/a/": "a", "/a/bc": "a", "/a/b/": "ab", "/a/b/c/d": "ab", "/A/b": "root",
	} {
		require.Equal(t, want, x.Match("H:80", path).Name, path)
	}
	require.Nil(t, x.Match("nobody", "/a/"))
	require.Nil(t, x.Match("o", "/a/b/"))
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	table := newTable(Route{Name: "a", Host: "h", Prefix: "/a/", Idempotent: true, Priority: 3, Services: []WeightedService{{"s", 9}, {"t", 1}}})
	require.NoError(t, table.Prepare())
	text, err := table.Encode()
	require.NoError(t, err)
	decoded, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, table, decoded)
}

func TestPrepareRejectsInvalidTables(t *testing.T) {
	for name, x := range map[string]*Table{
		"no version":                 {},
		"no host":                    newTable(Route{Prefix: "/a/"}),
		"prefix without final slash": newTable(Route{Host: "h", Prefix: "/a"}),
		"unknown service":            newTable(Route{Host: "h", Prefix: "/a/", Services: []WeightedService{{"unknown", 1}}}),
		"negative weight":            newTable(Route{Host: "h", Prefix: "/a/", Services: []WeightedService{{"s", -1}}}),
	} {
		require.Error(t, x.Prepare(), name)
	}
}

// The number of requests of each service differs from its exact share by at most 2
// (less than one per service), for three services with any weights, start of the
// rotation and number of requests. An error in the credits would give a service more requests than its share.
func TestSplitterFollowsWeights(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("shares", prop.ForAll(func(a, b, c, start, n int) bool {
		r := &Route{Name: "r", Services: []WeightedService{{"a", a}, {"b", b}, {"c", c}}}
		s := NewSplitter(func(total int) int { return start % total })
		got := map[string]int{}
		for range n {
			got[s.Pick(r)]++
		}
		for _, p := range r.Services {
			want := float64(n) * float64(p.Weight) / float64(a+b+c)
			if d := float64(got[p.Service]) - want; d > 2 || d < -2 {
				return false
			}
		}
		return true
	}, gen.IntRange(0, 90), gen.IntRange(1, 90), gen.IntRange(0, 90), gen.IntRange(0, 1000), gen.IntRange(1, 400)))
	properties.TestingRun(t)
}
