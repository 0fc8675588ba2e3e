package loader

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/standin/sampler"
)

// Settings describe one load.
type Settings struct {
	// Instances are asked for addresses first.
	Instances []netip.AddrPort
	KindLoads []KindLoad
	// Duration is the time in which requests start.
	Duration time.Duration
	Seed     int64
	// IDPrefix begins the id of every request of this load.
	IDPrefix string
	// Callers is the number of independent callers.
	Callers int
	// NetworkDelay is the emulated one-way network delay.
	NetworkDelay time.Duration
	// RequestTimeout bounds a request with all its attempts, Attempts their number.
	RequestTimeout time.Duration
	MaxAttempts    int
	// AttemptTimeout bounds an attempt; 0 is no bound.
	AttemptTimeout time.Duration
	// AnyInstance sends each request to any instance in place of the named ones.
	AnyInstance bool
	// Burst raises the rate now and then.
	Burst Burst
	// Direct sends requests straight to targets, whose addresses Instances
	// holds then.
	Direct bool
	// Sampler reads the costs before and after the load.
	Sampler sampler.Sampler
}

// KindLoad is the load of one kind.
type KindLoad struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// AtMostOnce marks a kind that runs at most once.
	AtMostOnce bool `json:"once"`
	// ResponseSize is the number of pattern bytes in an answer.
	ResponseSize int `json:"size"`
}

// Burst multiplies the rate by Factor for Length at the end of each Every.
type Burst struct {
	Every, Length time.Duration
	Factor        float64
}

// active tells whether a burst goes on at a time since the start.
func (b Burst) active(since time.Duration) bool {
	return b.Every > 0 && since%b.Every >= b.Every-b.Length
}

// ParseKindLoad reads a mix such as "parts/confirm rate=20 size=400 once".
func ParseKindLoad(text string) (KindLoad, error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return KindLoad{}, trace.BadParameter("the mix is empty")
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

// set applies one word of a mix.
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
		err = trace.BadParameter("unknown word %q", word)
	}
	if err == nil && (m.Rate <= 0 || m.ResponseSize < 0) {
		err = trace.BadParameter("%q is out of range", word)
	}
	return trace.Wrap(err)
}
