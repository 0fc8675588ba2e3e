package router

import (
	"encoding/json"
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// WeightedService is one service of a route and its weight.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is finite and not negative. The share of a service is its weight divided by the
	// sum of the weights of the route.
	Weight float64 `json:"weight"`
}

// Route determines the services for the requests of a host and a path prefix.
type Route struct {
	Name string `json:"name"`
	// Host is in lower case and has no port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent is set when requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time from the arrival of a request to its response.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the intended longest time from the arrival of a request to
	// its response. A later response misses the objective; Timeout is the
	// hard limit.
	LatencyObjective time.Duration `json:"objective"`
	// Priority orders requests under load; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts is the largest number of targets to which one request may be sent.
	MaxAttempts int `json:"attempts"`
	// Services holds at least one service.
	Services []WeightedService `json:"parts"`

	// split distributes the requests if there are several services. It belongs to one version
	// of the table: what was distributed by other weights does not count.
	split *split
}

// Pick returns the service for the next request. The function random returns a number of 64
// bits.
func (r *Route) Pick(random func() uint64) string {
	if r.split == nil {
		return r.Services[0].Service
	}
	return r.split.next(random)
}

// To returns the route with one of its services only.
func (r *Route) To(service string) *Route {
	only := *r
	only.Services, only.split = []WeightedService{{Service: service, Weight: 1}}, nil
	return &only
}

// prepare checks the services of the route and prepares their split.
func (r *Route) prepare() error {
	if len(r.Services) == 0 {
		return trace.BadParameter("route %q has no service; expected at least one", r.Name)
	}
	for _, p := range r.Services {
		if !(p.Weight >= 0) || math.IsInf(p.Weight, 1) {
			return trace.BadParameter("route %q: service %q has the weight %v; expected a number of at least 0", r.Name, p.Service, p.Weight)
		}
	}
	if len(r.Services) > 1 {
		r.split = newSplit(r.Services)
	}
	return nil
}

// Encode returns the route in the form that is sent to other instances.
func (r *Route) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	return text, trace.Wrap(err)
}

// DecodeRoute parses a route that Encode returned.
func DecodeRoute(text []byte) (*Route, error) {
	r := &Route{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, trace.Wrap(err, "the route is not valid JSON")
	}
	r.bound()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	return r, nil
}

// Service holds the properties that all targets of a service share.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health endpoint.
	HealthPath string `json:"health"`
	// MaxConnections is the number of connections that one target accepts from the
	// whole fleet.
	MaxConnections int `json:"connections"`
	// Warmup is the slow period of a target after it has become cold; 0 if none is known.
	Warmup time.Duration `json:"warmup,omitzero"`
	// WarmupRate is the number of requests per second that a cold target takes from all
	// instances together; 0 means no bound.
	WarmupRate float64 `json:"rate,omitzero"`
}

// Limits are the bounds on the size and the time of client requests.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of a request.
	MaxHeaderBytes int `json:"header"`
	MaxBodyBytes   int `json:"body"`
	// HeaderTimeout is the longest time from the first byte of a header to its last.
	HeaderTimeout time.Duration `json:"read"`
	// IdleTimeout is the longest time between two requests of a connection.
	IdleTimeout time.Duration `json:"idle"`
}

// Table is one version of the routing table.
type Table struct {
	// Version orders tables: a higher version is newer. A valid table has a version
	// greater than 0.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`

	// hosts holds the routes of each host, sorted by descending prefix length.
	hosts    map[string][]*Route
	services map[string]*Service
}

// Encode returns the table as JSON, as it is sent to the other instances.
func (t *Table) Encode() ([]byte, error) {
	text, err := json.Marshal(t)
	return text, trace.Wrap(err)
}

// Decode reads and prepares a table that Encode has written.
func Decode(text []byte) (*Table, error) {
	t := &Table{}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, trace.Wrap(err, "cannot decode the routing table from JSON")
	}
	if err := t.Prepare(); err != nil {
		return nil, err
	}
	return t, nil
}

// The bounds on the numbers of a route. Greater ones count as the bound: no request lasts longer,
// and no two priorities beyond it have to be told apart.
const (
	maxRouteTime = 24 * time.Hour
	maxPriority  = 1 << 20
)

// bound replaces numbers of the route that cannot be computed with.
func (r *Route) bound() {
	r.Timeout, r.LatencyObjective = min(r.Timeout, maxRouteTime), min(r.LatencyObjective, maxRouteTime)
	r.Priority = min(max(r.Priority, -maxPriority), maxPriority)
}

// check returns an error that names the first limit that is negative.
func (l *Limits) check() error {
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"header", int64(l.MaxHeaderBytes)},
		{"body", int64(l.MaxBodyBytes)},
		{"read", int64(l.HeaderTimeout)},
		{"idle", int64(l.IdleTimeout)},
	} {
		if f.value < 0 {
			return trace.BadParameter("the limit %q is %d; expected 0 or more", f.name, f.value)
		}
	}
	return nil
}

// Prepare checks the table and builds its index. It must be called once, before the
// table is used by several goroutines.
func (t *Table) Prepare() error {
	if t.Version == 0 {
		return trace.BadParameter("the routing table has no version; expected a number greater than 0")
	}
	if err := t.Limits.check(); err != nil {
		return err
	}
	t.services = make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		s := &t.Services[i]
		if s.MaxConnections < 0 {
			return trace.BadParameter("service %q has %d connections; expected 0 or more", s.Name, s.MaxConnections)
		}
		if s.Warmup < 0 || s.WarmupRate < 0 {
			return trace.BadParameter("service %q has the warm-up %s at %v requests per second; expected 0 or more of both", s.Name, s.Warmup, s.WarmupRate)
		}
		t.services[s.Name] = s
	}
	t.hosts = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		r.bound()
		if err := t.check(r); err != nil {
			return err
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return trace.BadParameter("route %q has no host; expected a host name in lower case without a port", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return trace.BadParameter("the prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	case r.Timeout <= 0 || r.LatencyObjective <= 0:
		return trace.BadParameter("route %q has a timeout or a latency objective that is not greater than 0", r.Name)
	case r.MaxAttempts < 1:
		return trace.BadParameter("route %q allows no attempt; expected at least 1", r.Name)
	}
	for _, p := range r.Services {
		if t.services[p.Service] == nil {
			return trace.BadParameter("route %q names the unknown service %q", r.Name, p.Service)
		}
	}
	return r.prepare()
}

// Match returns the route of the host with the longest prefix of the path. It
// returns nil when no route matches. The path is case-sensitive.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WarmupRates returns the number of requests per second that a cold target takes, by service.
func (t *Table) WarmupRates() map[string]float64 {
	rates := make(map[string]float64, len(t.Services))
	for i := range t.Services {
		rates[t.Services[i].Name] = t.Services[i].WarmupRate
	}
	return rates
}

// Service returns the service with a name, or nil when there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// NormalizeHost returns the host name of a Host header in lower case and without the
// port.
func NormalizeHost(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(header)
}
