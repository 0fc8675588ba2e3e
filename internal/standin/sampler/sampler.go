package sampler

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/standin/publisher"
	"oriolecourse.example/oriolecourse/internal/standin/recorder"
)

// readTimeout bounds one reading.
const readTimeout = 5 * time.Second

// Sampler names the processes to read. Invalid addresses are left out.
type Sampler struct {
	Recorder, Platform netip.AddrPort
	// Admins are the admin addresses of the instances.
	Admins []netip.AddrPort
}

// Usage holds running totals, or the difference of two readings.
type Usage struct {
	// Runs and Probes are counted by the targets.
	Runs   int64 `json:"runs"`
	Probes int64 `json:"probes"`
	// Calls are counted by the platform.
	Calls int64 `json:"calls"`
	// Instances is the number of instances that were read.
	Instances int64 `json:"instances"`
	// Processor, Messages and Bytes are sums over the instances.
	Processor time.Duration `json:"processor"`
	Messages  int64         `json:"messages"`
	Bytes     int64         `json:"bytes"`
	// Retries, Hedges and Connections are sums over the instances.
	Retries     int64 `json:"retries"`
	Hedges      int64 `json:"hedges"`
	Connections int64 `json:"connections"`
}

// Read returns the totals so far.
func (s Sampler) Read(ctx context.Context) (Usage, error) {
	u := Usage{Instances: int64(len(s.Admins))}
	var counts recorder.Counts
	if err := get(ctx, s.Recorder, "/counts", &counts); err != nil {
		return u, err
	}
	u.Runs, u.Probes = counts.Runs, counts.Probes
	var calls publisher.Calls
	if err := get(ctx, s.Platform, "/admin/calls", &calls); err != nil {
		return u, err
	}
	u.Calls = int64(calls.Total)
	for _, admin := range s.Admins {
		var r accountant.Report
		if err := get(ctx, admin, "/v1/cost", &r); err != nil {
			return u, err
		}
		u.add(r)
	}
	return u, nil
}

// add sums the report of one instance.
func (u *Usage) add(r accountant.Report) {
	u.Processor += time.Duration(r.CPUTime)
	u.Messages += r.ControlMessages
	u.Bytes += r.ControlBytes
	for _, l := range r.Lines {
		u.Retries += l.Retries
		u.Hedges += l.Hedges
		u.Connections += l.Connections
	}
}

// Sub returns the difference to an earlier reading.
func (u Usage) Sub(old Usage) Usage {
	u.Runs -= old.Runs
	u.Probes -= old.Probes
	u.Calls -= old.Calls
	u.Processor -= old.Processor
	u.Messages -= old.Messages
	u.Bytes -= old.Bytes
	u.Retries -= old.Retries
	u.Hedges -= old.Hedges
	u.Connections -= old.Connections
	return u
}

// get decodes one JSON answer; an invalid address is left out.
func get(ctx context.Context, address netip.AddrPort, path string, value any) error {
	if !address.IsValid() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return trace.BadParameter("%s%s answered %s", address, path, answer.Status)
	}
	return trace.Wrap(json.NewDecoder(answer.Body).Decode(value), "%s%s", address, path)
}

// Plus returns the sum with another difference.
func (u Usage) Plus(other Usage) Usage {
	u.Instances += other.Instances
	negative := Usage{}.Sub(other)
	return u.Sub(negative)
}
