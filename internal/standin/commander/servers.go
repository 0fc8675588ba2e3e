package commander

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/standin/listener"
	"oriolecourse.example/oriolecourse/internal/standin/publisher"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
	"oriolecourse.example/oriolecourse/internal/standin/worker"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// platformCommand runs the platform.
func platformCommand() *cobra.Command {
	var at place
	c := &cobra.Command{
		Use:   "platform",
		Short: "Publish settings and the list of instances and targets",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := listener.Open("platform", at.address, at.ready)
			if err != nil {
				return err
			}
			return l.Serve(c.Context(), publisher.New().Handler(), c.ErrOrStderr())
		},
	}
	at.bind(c.Flags())
	return c
}

// recorderCommand runs the recorder.
func recorderCommand() *cobra.Command {
	var at place
	var brief bool
	c := &cobra.Command{
		Use:   "recorder",
		Short: "Keep what the targets ran, also those that are killed",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := listener.Open("recorder", at.address, at.ready)
			if err != nil {
				return err
			}
			router := listener.NewRouter()
			(&recorder.Record{TotalsOnly: brief}).Register(router)
			return l.Serve(c.Context(), router, c.ErrOrStderr())
		},
	}
	at.bind(c.Flags())
	c.Flags().BoolVar(&brief, "brief", false, "keep the totals only")
	return c
}

// targetFlags hold the flags of a target.
type targetFlags struct {
	at       place
	settings worker.Settings
	recorder netip.AddrPort
	platform string
	means    map[string]string
}

// targetCommand runs a target.
func targetCommand() *cobra.Command {
	var t targetFlags
	c := &cobra.Command{
		Use:   "target",
		Short: "Serve work with a few slots and report its load",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return t.serve(c) },
	}
	t.bind(c)
	return c
}

// bind adds the flags of a target.
func (t *targetFlags) bind(c *cobra.Command) {
	f, s := c.Flags(), &t.settings
	t.at.bind(f)
	f.StringVar(&s.Place, "place", "himal", "place of the settings tree")
	f.StringVar(&s.Service, "service", "lookup", "service that the target belongs to")
	f.StringVar(&s.Zone, "zone", "a", "availability zone")
	f.IntVar(&s.Slots, "slots", 2, "requests that run at a time")
	f.IntVar(&s.QueueCapacity, "queue", 100, "requests that may wait for a slot")
	f.DurationVar(&s.MeanServiceTime, "mean", 4*time.Millisecond, "mean service time")
	f.StringToStringVar(&t.means, "means", nil, "mean service times of single kinds, as kind=duration")
	f.Float64Var(&s.Sigma, "sigma", 0.5, "shape of the log-normal service times; 0 makes them constant")
	f.Float64Var(&s.TimeScale, "stretch", 1, "factor for service times and slow episodes")
	f.Int64Var(&s.Seed, "seed", 1, "seed of service times and slow episodes")
	f.DurationVar(&s.NetworkDelay, "delay", 0, "emulated one-way network delay")
	f.DurationVar(&s.ColdStart, "ramp", 0, "length of the cold start")
	f.Float64Var(&s.Noise.Slowdown, "noise", 0, "factor of slow episodes that come and go; 0 for none")
	f.DurationVar(&s.Noise.MinLength, "noise-least", 30*time.Millisecond, "least length of a slow episode")
	f.DurationVar(&s.Noise.MaxLength, "noise-most", 70*time.Millisecond, "greatest length of a slow episode")
	f.DurationVar(&s.Noise.MeanGap, "noise-every", 2*time.Second, "mean time between slow episodes")
	f.TextVar(&t.recorder, "recorder", netip.AddrPort{}, "ip:port of the recorder; none by default")
	f.StringVar(&t.platform, "platform", "", "URL of the platform to be listed at; none by default")
}

// serve runs the target.
func (t *targetFlags) serve(c *cobra.Command) error {
	l, err := listener.Open("target", t.at.address, t.at.ready)
	if err != nil {
		return err
	}
	t.settings.Address = l.Address
	if t.settings.MeanByKind, err = durations(t.means); err != nil {
		return err
	}
	var stream *recorder.Stream
	if t.recorder.IsValid() {
		if stream, err = recorder.Open(t.recorder); err != nil {
			return err
		}
	}
	w := worker.New(t.settings, stream, os.Exit, time.Now())
	if t.platform != "" {
		if err := t.register(w.Start()); err != nil {
			return err
		}
	}
	return l.Serve(c.Context(), w.Handler(), c.ErrOrStderr())
}

// register lists the target at the platform.
func (t *targetFlags) register(start string) error {
	s := t.settings
	entry := lister.Target{
		Address: s.Address, Place: s.Place, Service: s.Service,
		Zone: s.Zone, State: lister.Live, Start: start,
	}
	text, err := json.Marshal(entry)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = call(http.MethodPost, t.platform+"/admin/targets", bytes.NewReader(text))
	return err
}

// durations parses the values of a map.
func durations(texts map[string]string) (map[string]time.Duration, error) {
	parsed := map[string]time.Duration{}
	for name, text := range texts {
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		parsed[name] = d
	}
	return parsed, nil
}
