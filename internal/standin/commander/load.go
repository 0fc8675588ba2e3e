package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/standin/auditor"
	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	settings   loader.Settings
	instances  []string
	kindLoads  []string
	admins     []string
	labels     map[string]string
	resultFile string
}

func loadCommand() *cobra.Command {
	var l loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Send requests as callers do and write the result",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return l.run(c) },
	}
	l.bind(c)
	return c
}

// bind registers the flags.
func (l *loadFlags) bind(c *cobra.Command) {
	f, s := c.Flags(), &l.settings
	f.StringSliceVar(&l.instances, "instances", nil, "ip:port of the instances that are asked for addresses")
	f.StringArrayVar(&l.kindLoads, "mix", nil, `load of one kind: "service/kind rate=N [size=N] [once]"; may be repeated`)
	f.DurationVar(&s.Duration, "duration", 10*time.Second, "time during which requests start")
	f.Int64Var(&s.Seed, "seed", 1, "seed of the load")
	f.StringVar(&s.IDPrefix, "name", "r", "prefix of all request ids")
	f.IntVar(&s.Callers, "callers", 8, "number of independent callers")
	f.DurationVar(&s.NetworkDelay, "delay", 0, "emulated one-way network delay")
	f.DurationVar(&s.AttemptTimeout, "timeout", 0, "timeout of an attempt, after which the next address is tried; 0 for none")
	f.DurationVar(&s.RequestTimeout, "patience", 10*time.Second, "timeout of a request including all attempts")
	f.IntVar(&s.MaxAttempts, "attempts", 8, "maximum number of attempts of a request")
	f.BoolVar(&s.AnyInstance, "spread", false, "send each request to a randomly chosen instance")
	f.DurationVar(&s.Burst.Every, "burst-every", 0, "time between bursts; 0 for none")
	f.DurationVar(&s.Burst.Length, "burst-length", 200*time.Millisecond, "length of a burst")
	f.Float64Var(&s.Burst.Factor, "burst-factor", 3, "factor of the rate during a burst")
	f.BoolVar(&s.Direct, "direct", false, "send directly to targets; --instances holds their addresses")
	f.TextVar(&s.Sampler.Recorder, "recorder", netip.AddrPort{}, "ip:port of the recorder to read totals from")
	f.TextVar(&s.Sampler.Platform, "platform", netip.AddrPort{}, "ip:port of the platform to read totals from")
	f.StringSliceVar(&l.admins, "admins", nil, "admin ip:port of the instances to read costs from")
	f.StringToStringVar(&l.labels, "label", nil, "name=value pairs to store in the result")
	f.StringVar(&l.resultFile, "out", "", "file that receives the result as JSON")
}

// run sends the load and writes the result.
func (l *loadFlags) run(c *cobra.Command) error {
	if err := l.parse(); err != nil {
		return err
	}
	result, err := loader.Run(c.Context(), l.settings)
	if err != nil {
		return err
	}
	result.Labels = l.labels
	text, err := json.Marshal(result)
	if err != nil {
		return trace.Wrap(err)
	}
	if l.resultFile == "" {
		_, err := c.OutOrStdout().Write(append(text, '\n'))
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(l.resultFile, text, 0o600))
}

// parse parses the flags that are lists into the settings.
func (l *loadFlags) parse() error {
	var err error
	if l.settings.Instances, err = parseAddresses(l.instances); err != nil {
		return trace.Wrap(err, "--instances")
	}
	if l.settings.Sampler.Admins, err = parseAddresses(l.admins); err != nil {
		return trace.Wrap(err, "--admins")
	}
	for _, text := range l.kindLoads {
		k, err := loader.ParseKindLoad(text)
		if err != nil {
			return err
		}
		l.settings.KindLoads = append(l.settings.KindLoads, k)
	}
	return nil
}

// parseAddresses parses texts of the form ip:port.
func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	var parsed []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		parsed = append(parsed, address)
	}
	return parsed, nil
}

// judgeCommand audits the results of loads.
func judgeCommand() *cobra.Command {
	var recorderURL string
	c := &cobra.Command{
		Use:   "judge RESULT...",
		Short: "Compare the responses that callers got with the runs that targets recorded",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			v, err := audit(recorderURL, args)
			if err != nil {
				return err
			}
			if err := v.Print(c.OutOrStdout()); err != nil {
				return trace.Wrap(err)
			}
			fmt.Fprintln(c.OutOrStdout(), v.Summary())
			if !v.OK() {
				return trace.CompareFailed("audit failed: the results have violations or requests without a complete response")
			}
			return nil
		},
	}
	c.Flags().StringVar(&recorderURL, "record", "", "URL of the recorder")
	return c
}

// audit reads the results at the paths and the events from the recorder and compares them.
func audit(recorderURL string, paths []string) (*auditor.Verdict, error) {
	var results []*loader.Result
	for _, path := range paths {
		result, err := readResult(path)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	text, err := call(http.MethodGet, recorderURL+"/record", http.NoBody)
	if err != nil {
		return nil, err
	}
	events, err := recorder.ParseEvents(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	return auditor.Audit(results, events), nil
}

// readResult reads the result of a load from a JSON file.
func readResult(path string) (*loader.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	result := &loader.Result{}
	return result, trace.Wrap(json.Unmarshal(text, result), "%s", path)
}
