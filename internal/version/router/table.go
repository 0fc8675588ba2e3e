package router

import (
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// WeightedService is one service of a route and its share of the route's requests.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is greater than 0; shares are weights over their sum.
	Weight int `json:"weight"`
}

// Route tells where the requests of a host and a path prefix go.
type Route struct {
	Name string `json:"name"`
	// Host is in lower case and has no port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a request is kept.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the time within which an answer is worth most.
	LatencyObjective time.Duration `json:"objective"`
	// Priority is the rank under load; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts is the largest number of targets that one request may reach.
	MaxAttempts int `json:"attempts"`
	// Services holds at least one part.
	Services []WeightedService `json:"parts"`
}

// Service holds the properties of a service that all its targets share.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health endpoint.
	HealthPath string `json:"health"`
	// MaxConnections is the number of connections that one target accepts from the
	// whole fleet.
	MaxConnections int `json:"connections"`
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	// MaxHeaderBytes and Body are in bytes.
	MaxHeaderBytes int `json:"header"`
	MaxBodyBytes   int `json:"body"`
	// HeaderTimeout bounds the time from the first byte of a header to its last.
	HeaderTimeout time.Duration `json:"read"`
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration `json:"idle"`
}

// Table is one version of the routing table.
type Table struct {
	// Version orders tables; a higher one is newer. It is 0 only for no table.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`

	// hosts holds the routes of each host, the longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
}

// Encode writes a table for the other instances.
func (t *Table) Encode() ([]byte, error) {
	text, err := json.Marshal(t)
	return text, trace.Wrap(err)
}

// Decode reads what Encode has written and checks it.
func Decode(text []byte) (*Table, error) {
	t := &Table{}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, trace.Wrap(err, "the routing table is not valid JSON")
	}
	if err := t.Prepare(); err != nil {
		return nil, err
	}
	return t, nil
}

// Prepare checks a table and builds its index. It is called once, before the
// table is shared.
func (t *Table) Prepare() error {
	if t.Version == 0 {
		return trace.BadParameter("the routing table has no version")
	}
	t.services = make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	t.hosts = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
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
		return trace.BadParameter("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return trace.BadParameter("the prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	case r.Timeout <= 0 || r.LatencyObjective <= 0:
		return trace.BadParameter("route %q has no timeout or no latency objective", r.Name)
	case r.MaxAttempts < 1:
		return trace.BadParameter("route %q allows no attempt", r.Name)
	case len(r.Services) == 0:
		return trace.BadParameter("route %q names no service", r.Name)
	}
	for _, p := range r.Services {
		if t.services[p.Service] == nil {
			return trace.BadParameter("route %q names the unknown service %q", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return trace.BadParameter("route %q has the negative weight %d", r.Name, p.Weight)
		}
	}
	return nil
}

// Match returns the route with the longest prefix of a path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// NormalizeHost returns the name in a NormalizeHost header in lower case and without a port.
func NormalizeHost(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(header)
}
