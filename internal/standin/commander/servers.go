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

func platformCommand() *cobra.Command {
	var listen listenFlags
	c := &cobra.Command{
		Use:   "platform",
		Short: "Stand in for the platform: publish settings and the list of instances and targets",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := listener.Open("platform", listen.address, listen.readyFile)
			if err != nil {
				return err
			}
			return l.Serve(c.Context(), publisher.New().Handler(), c.ErrOrStderr())
		},
	}
	listen.bind(c.Flags())
	return c
}

func recorderCommand() *cobra.Command {
	var listen listenFlags
	var totalsOnly bool
	c := &cobra.Command{
		Use:   "recorder",
		Short: "Record the runs of all targets, including targets that are killed",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := listener.Open("recorder", listen.address, listen.readyFile)
			if err != nil {
				return err
			}
			router := listener.NewRouter()
			(&recorder.Record{TotalsOnly: totalsOnly}).Register(router)
			return l.Serve(c.Context(), router, c.ErrOrStderr())
		},
	}
	listen.bind(c.Flags())
	c.Flags().BoolVar(&totalsOnly, "brief", false, "keep only the totals")
	return c
}

// targetFlags holds the flags of the target command.
type targetFlags struct {
	listen     listenFlags
	settings   worker.Settings
	recorder   netip.AddrPort
	platform   string
	meanByKind map[string]string
}

func targetCommand() *cobra.Command {
	var t targetFlags
	c := &cobra.Command{
		Use:   "target",
		Short: "Stand in for a target: run requests in a few slots and report the load",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return t.serve(c) },
	}
	t.bind(c)
	return c
}

// bind registers the flags.
func (t *targetFlags) bind(c *cobra.Command) {
	f, s := c.Flags(), &t.settings
	t.listen.bind(f)
	f.StringVar(&s.Place, "place", "himal", "place of the target in the settings tree")
	f.StringVar(&s.Service, "service", "lookup", "service of the target")
	f.StringVar(&s.Zone, "zone", "a", "availability zone")
	f.IntVar(&s.Slots, "slots", 2, "maximum number of requests that run at a time")
	f.IntVar(&s.QueueCapacity, "queue", 100, "maximum number of requests that wait for a slot")
	f.DurationVar(&s.MeanServiceTime, "mean", 4*time.Millisecond, "mean service time")
	f.StringToStringVar(&t.meanByKind, "means", nil, "mean service times by kind, as kind=duration")
	f.Float64Var(&s.Sigma, "sigma", 0.5, "sigma of the log-normal distribution of service times; 0 makes them constant")
	f.Float64Var(&s.TimeScale, "stretch", 1, "factor for service times and slow episodes")
	f.Int64Var(&s.Seed, "seed", 1, "seed of service times and slow episodes")
	f.DurationVar(&s.NetworkDelay, "delay", 0, "emulated one-way network delay")
	f.DurationVar(&s.ColdStart, "ramp", 0, "length of the cold start")
	f.Float64Var(&s.Noise.Slowdown, "noise", 0, "factor of service times in slow episodes; 0 for no slow episodes")
	f.DurationVar(&s.Noise.MinLength, "noise-least", 30*time.Millisecond, "minimum length of a slow episode")
	f.DurationVar(&s.Noise.MaxLength, "noise-most", 70*time.Millisecond, "maximum length of a slow episode")
	f.DurationVar(&s.Noise.MeanGap, "noise-every", 2*time.Second, "mean time between slow episodes")
	f.TextVar(&t.recorder, "recorder", netip.AddrPort{}, "ip:port of the recorder; not recorded by default")
	f.StringVar(&t.platform, "platform", "", "URL of the platform that lists the target; not listed by default")
}

// serve runs the target until the context ends.
func (t *targetFlags) serve(c *cobra.Command) error {
	l, err := listener.Open("target", t.listen.address, t.listen.readyFile)
	if err != nil {
		return err
	}
	t.settings.Address = l.Address
	if t.settings.MeanByKind, err = parseDurations(t.meanByKind); err != nil {
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

// register adds the target to the platform's list.
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

// parseDurations parses the values of a map as durations.
func parseDurations(texts map[string]string) (map[string]time.Duration, error) {
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
