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

// readTimeout bounds one request to a process.
const readTimeout = 5 * time.Second

// Sampler holds the addresses of the processes to read. It skips invalid addresses.
type Sampler struct {
	Recorder, Platform netip.AddrPort
	// Admins are the admin addresses of the instances.
	Admins []netip.AddrPort
}

// Usage holds running totals, or the difference between two readings.
type Usage struct {
	// Runs and Probes are the counts that the targets reported to the recorder.
	Runs   int64 `json:"runs"`
	Probes int64 `json:"probes"`
	// Calls is the number of calls that the platform received.
	Calls int64 `json:"calls"`
	// Instances is the number of instances that were read.
	Instances int64 `json:"instances"`
	// CPUTime, Messages and Bytes are sums over the instances. Messages and Bytes
	// count control traffic.
	CPUTime  time.Duration `json:"processor"`
	Messages int64         `json:"messages"`
	Bytes    int64         `json:"bytes"`
	// Retries, Hedges and Connections are sums over the instances.
	Retries     int64 `json:"retries"`
	Hedges      int64 `json:"hedges"`
	Connections int64 `json:"connections"`
}

// Read returns the current totals.
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
		u.addReport(r)
	}
	return u, nil
}

// addReport adds the report of one instance.
func (u *Usage) addReport(r accountant.Report) {
	u.CPUTime += time.Duration(r.CPUTime)
	u.Messages += r.ControlMessages
	u.Bytes += r.ControlBytes
	for _, l := range r.Lines {
		u.Retries += l.Retries
		u.Hedges += l.Hedges
		u.Connections += l.Connections
	}
}

// Sub returns the difference from an earlier reading. Instances stays unchanged.
func (u Usage) Sub(earlier Usage) Usage {
	u.Runs -= earlier.Runs
	u.Probes -= earlier.Probes
	u.Calls -= earlier.Calls
	u.CPUTime -= earlier.CPUTime
	u.Messages -= earlier.Messages
	u.Bytes -= earlier.Bytes
	u.Retries -= earlier.Retries
	u.Hedges -= earlier.Hedges
	u.Connections -= earlier.Connections
	return u
}

// get decodes the JSON response to one request into value. It does nothing if the
// address is invalid.
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("GET %s%s: got status %s, expected 200 OK", address, path, response.Status)
	}
	return trace.Wrap(json.NewDecoder(response.Body).Decode(value), "cannot decode the response to GET %s%s as JSON", address, path)
}

// Add returns the sum of two differences.
func (u Usage) Add(other Usage) Usage {
	u.Instances += other.Instances
	negative := Usage{}.Sub(other)
	return u.Sub(negative)
}
