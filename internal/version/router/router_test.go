package router

import (
	"math"
	"math/rand/v2"
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
		"negative body limit":        {Version: 1, Limits: Limits{MaxBodyBytes: -1}},
		"negative idle timeout":      {Version: 1, Limits: Limits{IdleTimeout: -1}},
		"negative connections":       {Version: 1, Services: []Service{{Name: "s", MaxConnections: -1}}},
		"negative weight":            newTable(Route{Host: "h", Prefix: "/a/", Services: []WeightedService{{"s", -1}}}),
	} {
		require.Error(t, x.Prepare(), name)
	}
}

// Guards against numbers of a route that exceed their types where they are multiplied: the least
// urgent requests became the most urgent ones.
func TestNumbersOfARouteAreBounded(t *testing.T) {
	text := `{"version":1,"services":[{"name":"s"}],"routes":[{"host":"h","prefix":"/","timeout":9223372036854775807,"objective":9223372036854775807,"priority":9223372036854775807,"attempts":1,"parts":[{"service":"s","weight":1}]}]}`
	table, err := Decode([]byte(text))
	require.NoError(t, err)
	for _, r := range []*Route{table.Match("h", "/"), decoded(t, table.Match("h", "/"))} {
		require.Equal(t, 24*time.Hour, r.Timeout)
		require.Equal(t, 24*time.Hour, r.LatencyObjective)
		require.Positive(t, time.Duration(r.Priority)*time.Hour)
	}
}

// decoded returns a route as another instance gets it.
func decoded(t *testing.T, r *Route) *Route {
	t.Helper()
	text, err := r.Encode()
	require.NoError(t, err)
	d, err := DecodeRoute(text)
	require.NoError(t, err)
	return d
}

// The number of requests of each service differs from its exact share by at most 2 (less than
// one per service), for three services with any weights, start and number of requests. An error
// in the shares would give a service more requests than its share.
func TestSplitterFollowsWeights(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("shares", prop.ForAll(func(a, b, c, scale int, start uint64, n int) bool {
		unit := math.Pow(10, float64(scale))
		r := prepared(t, WeightedService{"a", unit * float64(a)}, WeightedService{"b", unit * float64(b)}, WeightedService{"c", unit * float64(c)})
		got := pickAll(r, n, func() uint64 { start *= 6364136223846793005; return start })
		for _, p := range r.Services {
			want := float64(n) * (p.Weight / unit) / float64(a+b+c)
			if d := float64(got[p.Service]) - want; d > 2 || d < -2 {
				return false
			}
		}
		return true
	}, gen.IntRange(0, 90), gen.IntRange(1, 90), gen.IntRange(0, 90), gen.IntRange(-300, 300), gen.UInt64(), gen.IntRange(1, 400)))
	properties.TestingRun(t)
}

// prepared returns a route with some services.
func prepared(t *testing.T, services ...WeightedService) *Route {
	t.Helper()
	r := &Route{Name: "r", Services: services}
	require.NoError(t, r.prepare())
	return r
}

// pickAll returns the number of requests of each service among n.
func pickAll(r *Route, n int, random func() uint64) map[string]int {
	got := map[string]int{}
	for range n {
		got[r.Pick(random)]++
	}
	return got
}

// Guards against a choice whose cost grows with the weights, and against sums and shares of them
// that exceed the numbers of a type: no request on the route was answered, or the process ended.
func TestLargeWeightsAreFollowed(t *testing.T) {
	for name, c := range map[string]struct {
		services []WeightedService
		want     map[string]int
	}{
		"parts per billion":   {[]WeightedService{{"a", 9e8}, {"b", 1e8}}, map[string]int{"a": 900, "b": 100}},
		"sum above 64 bits":   {[]WeightedService{{"a", 1 << 63}, {"b", 1 << 63}, {"c", 1 << 63}, {"d", 1 << 63}}, map[string]int{"a": 250, "b": 250, "c": 250, "d": 250}},
		"greatest numbers":    {[]WeightedService{{"a", math.MaxFloat64}, {"b", math.MaxFloat64}}, map[string]int{"a": 500, "b": 500}},
		"least numbers":       {[]WeightedService{{"a", math.SmallestNonzeroFloat64}, {"b", math.SmallestNonzeroFloat64}}, map[string]int{"a": 500, "b": 500}},
		"both":                {[]WeightedService{{"a", math.SmallestNonzeroFloat64}, {"b", math.MaxFloat64}, {"c", 1}}, map[string]int{"b": 1000}},
		"the first is most":   {[]WeightedService{{"a", 1e30}, {"b", 1}}, map[string]int{"a": 1000}},
		"the last is most":    {[]WeightedService{{"a", 1}, {"b", 1e30}}, map[string]int{"b": 1000}},
		"fractions":           {[]WeightedService{{"a", 0.9}, {"b", 0.1}}, map[string]int{"a": 900, "b": 100}},
		"nothing":             {[]WeightedService{{"a", 0}, {"b", 0}}, map[string]int{"a": 1000}},
		"nothing but the one": {[]WeightedService{{"a", 0}, {"b", 0.1}, {"c", 0}}, map[string]int{"b": 1000}},
	} {
		got := pickAll(prepared(t, c.services...), 1000, rand.Uint64)
		for service := range got {
			require.InDelta(t, c.want[service], got[service], 2, name)
		}
	}
}

// Guards against counts that outlive the weights by which they were counted: after a change from
// 9900 to 100 to 1 to 1, thousands of requests went to one of the services.
func TestNewWeightsHoldFromTheFirstRequest(t *testing.T) {
	table := newTable(Route{Name: "r", Host: "h", Prefix: "/", Services: []WeightedService{{"s", 9900}, {"t", 100}}})
	require.NoError(t, table.Prepare())
	pickAll(table.Match("h", "/"), 50, rand.Uint64)
	table.Routes[0].Services = []WeightedService{{"s", 1}, {"t", 1}}
	text, err := table.Encode()
	require.NoError(t, err)
	for range 20 {
		next, err := Decode(text)
		require.NoError(t, err)
		require.InDelta(t, 10, pickAll(next.Match("h", "/"), 20, rand.Uint64)["s"], 1)
	}
}

// Guards against counts that are lost while many requests choose at once, without a lock.
func TestConcurrentRequestsFollowWeights(t *testing.T) {
	r, got := prepared(t, WeightedService{"a", 7}, WeightedService{"b", 2}, WeightedService{"c", 1}), make(chan map[string]int)
	for range 8 {
		go func() { got <- pickAll(r, 1000, rand.Uint64) }()
	}
	total := map[string]int{}
	for range 8 {
		for service, n := range <-got {
			total[service] += n
		}
	}
	require.InDelta(t, 5600, total["a"], 2)
	require.InDelta(t, 1600, total["b"], 2)
	require.InDelta(t, 800, total["c"], 2)
}

// Guards against shares that are right for many requests of one instance only: here many instances
// get a few requests each between two changes of the weights.
func TestFleetFollowsWeightsThatChangeOften(t *testing.T) {
	const instances, requests = 98, 5
	random := rand.New(rand.NewPCG(3, 4))
	for version := range 40 {
		w := random.Float64() * math.Pow(10, float64(random.IntN(12)-3))
		v := random.Float64() * math.Pow(10, float64(random.IntN(12)-3))
		got := 0
		for range instances {
			got += pickAll(prepared(t, WeightedService{"a", w}, WeightedService{"b", v}), requests, random.Uint64)["a"]
		}
		// The bound on the share that users state for 300 requests and more.
		require.InDelta(t, w/(w+v), float64(got)/(instances*requests), 0.1, version)
	}
}

// Guards against requests of many instances that all begin with the same service: with few
// requests each, one service would get none of them.
func TestInstancesStartAtDifferentServices(t *testing.T) {
	random, got := rand.New(rand.NewPCG(1, 2)), map[string]int{}
	for range 2000 {
		r := prepared(t, WeightedService{"a", 7}, WeightedService{"b", 2}, WeightedService{"c", 1})
		got[r.Pick(random.Uint64)]++
	}
	require.InDelta(t, 1400, got["a"], 80)
	require.InDelta(t, 400, got["b"], 80)
	require.InDelta(t, 200, got["c"], 80)
}

// Guards against a relayed request that takes another service than the one that was chosen.
func TestRouteToOneServiceHasNoOther(t *testing.T) {
	r := prepared(t, WeightedService{"a", 1}, WeightedService{"b", 1})
	text, err := r.To("b").Encode()
	require.NoError(t, err)
	only, err := DecodeRoute(text)
	require.NoError(t, err)
	require.Equal(t, map[string]int{"b": 10}, pickAll(only, 10, rand.Uint64))
	require.Equal(t, map[string]int{"b": 10}, pickAll(r.To("b"), 10, rand.Uint64))
	require.Len(t, pickAll(r, 10, rand.Uint64), 2)
}

// Guards against a route of another instance with a weight that a table could not have.
func TestDecodeRouteRejectsInvalidWeights(t *testing.T) {
	for _, text := range []string{`{"parts":[{"service":"s","weight":-1},{"service":"t","weight":1}]}`, `{"parts":[{"service":"s","weight":1e400}]}`, `{"parts":[]}`} {
		_, err := DecodeRoute([]byte(text))
		require.Error(t, err, text)
	}
}
