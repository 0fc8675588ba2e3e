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
	Mixes     []Mix
	// Duration is the time in which requests start.
	Duration time.Duration
	Seed     int64
	// Name begins the id of every request of this load.
	Name string
	// Callers is the number of independent callers.
	Callers int
	// Delay is the emulated one-way network delay.
	Delay time.Duration
	// Patience bounds a request with all its attempts, Attempts their number.
	Patience time.Duration
	Attempts int
	// Timeout bounds an attempt; 0 is no bound.
	Timeout time.Duration
	// Spread sends each request to any instance in place of the named ones.
	Spread bool
	// Burst raises the rate now and then.
	Burst Burst
	// Direct sends requests straight to targets, whose addresses Instances
	// holds then.
	Direct bool
	// Sampler reads the costs before and after the load.
	Sampler sampler.Sampler
}

// Mix is the load of one kind.
type Mix struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// Once marks a kind that runs at most once.
	Once bool `json:"once"`
	// Size is the number of pattern bytes in an answer.
	Size int `json:"size"`
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

// ParseMix reads a mix such as "parts/confirm rate=20 size=400 once".
func ParseMix(text string) (Mix, error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return Mix{}, trace.BadParameter("the mix is empty")
	}
	service, kind, found := strings.Cut(words[0], "/")
	if !found {
		return Mix{}, trace.BadParameter("the mix %q names no service/kind", text)
	}
	m := Mix{Service: service, Kind: kind, Rate: 1}
	for _, word := range words[1:] {
		if err := m.set(word); err != nil {
			return Mix{}, trace.Wrap(err, "mix %q", text)
		}
	}
	return m, nil
}

// set applies one word of a mix.
func (m *Mix) set(word string) error {
	name, value, _ := strings.Cut(word, "=")
	var err error
	switch name {
	case "rate":
		m.Rate, err = strconv.ParseFloat(value, 64)
	case "size":
		m.Size, err = strconv.Atoi(value)
	case "once":
		m.Once = true
	default:
		err = trace.BadParameter("unknown word %q", word)
	}
	if err == nil && (m.Rate <= 0 || m.Size < 0) {
		err = trace.BadParameter("%q is out of range", word)
	}
	return trace.Wrap(err)
}
