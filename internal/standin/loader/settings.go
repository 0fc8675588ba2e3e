package loader

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/standin/sampler"
)

// Settings are the settings of one load.
type Settings struct {
	// Instances are the instances that callers ask first for addresses. Later lookups
	// begin with the addresses of the last response.
	Instances []netip.AddrPort
	KindLoads []KindLoad
	// Duration is the period in which requests start.
	Duration time.Duration
	Seed     int64
	// IDPrefix starts the id of every request of this load.
	IDPrefix string
	// Callers is the number of independent callers.
	Callers int
	// NetworkDelay is the emulated one-way network delay.
	NetworkDelay time.Duration
	// RequestTimeout bounds a request with all its attempts. MaxAttempts bounds the
	// attempts that reach an instance.
	RequestTimeout time.Duration
	MaxAttempts    int
	// AttemptTimeout bounds one attempt; 0 means no bound.
	AttemptTimeout time.Duration
	// AnyInstance sends each request to a random instance instead of the addresses
	// that a lookup returns.
	AnyInstance bool
	// Burst raises the rate periodically.
	Burst Burst
	// Direct sends requests straight to targets, without an instance in between.
	// Instances then holds the addresses of the targets.
	Direct bool
	// Sampler reads the cost counters before and after the load.
	Sampler sampler.Sampler
}

// KindLoad is the load of one request kind.
type KindLoad struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// AtMostOnce marks a kind that runs at most once.
	AtMostOnce bool `json:"once"`
	// ResponseSize is the number of pattern bytes in a response.
	ResponseSize int `json:"size"`
}

// Burst multiplies the rate by Factor during the last Length of each period Every.
type Burst struct {
	Every, Length time.Duration
	Factor        float64
}

// active reports whether a burst is in progress at a time since the start of the
// load.
func (b Burst) active(since time.Duration) bool {
	return b.Every > 0 && since%b.Every >= b.Every-b.Length
}

// ParseKindLoad parses the load of a kind, such as "parts/confirm rate=20 size=400
// once".
func ParseKindLoad(text string) (KindLoad, error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return KindLoad{}, trace.BadParameter("the mix is empty, expected service/kind [rate=N] [size=N] [once]")
	}
	service, kind, found := strings.Cut(words[0], "/")
	if !found {
		return KindLoad{}, trace.BadParameter("the mix %q names no service/kind", text)
	}
	m := KindLoad{Service: service, Kind: kind, Rate: 1}
	for _, word := range words[1:] {
		if err := m.set(word); err != nil {
			return KindLoad{}, trace.Wrap(err, "mix %q", text)
		}
	}
	return m, nil
}

// set parses one word after service/kind.
func (m *KindLoad) set(word string) error {
	name, value, _ := strings.Cut(word, "=")
	var err error
	switch name {
	case "rate":
		m.Rate, err = strconv.ParseFloat(value, 64)
	case "size":
		m.ResponseSize, err = strconv.Atoi(value)
	case "once":
		m.AtMostOnce = true
	default:
		err = trace.BadParameter("unknown word %q, expected rate=N, size=N or once", word)
	}
	if err == nil && (m.Rate <= 0 || m.ResponseSize < 0) {
		err = trace.BadParameter("%q is out of range: rate must be above 0, size at least 0", word)
	}
	return trace.Wrap(err)
}
