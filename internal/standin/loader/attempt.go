package loader

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/generator"
)

// send makes one attempt. It distinguishes an instance that could not be reached
// from one whose response is missing, since only the latter may have run the
// request.
func (c *caller) send(ctx context.Context, load KindLoad, a Attempt, address netip.AddrPort) Attempt {
	a.Instance, a.Begin = address.String(), time.Now()
	time.Sleep(c.settings.NetworkDelay)
	request, err := c.request(ctx, load, a, address)
	if err != nil {
		a.Outcome, a.Error = Unsent, err.Error()
		return a
	}
	response, err := c.client.Do(request)
	if err != nil {
		a.Outcome, a.Error, a.End = Unknown, err.Error(), time.Now()
		if dial := (*net.OpError)(nil); errors.As(err, &dial) && dial.Op == "dial" {
			a.Outcome = Unsent
		}
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	time.Sleep(c.settings.NetworkDelay)
	a.End, a.Status = time.Now(), response.StatusCode
	if err != nil {
		a.Outcome, a.Error = Unknown, err.Error()
		return a
	}
	return classify(load, a, c.settings.Direct, response, body)
}

// request builds the HTTP request of an attempt. The method is POST: net/http
// repeats a GET itself when a connection breaks, and the result would not show the
// repetition as an attempt.
func (c *caller) request(ctx context.Context, load KindLoad, a Attempt, address netip.AddrPort) (*http.Request, error) {
	url := "http://" + address.String() + "/s/" + load.Service + "/" + load.Kind + "/item"
	if c.settings.Direct {
		url = "http://" + address.String() + "/" + load.Kind + "/item"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Request-Id", a.ID)
	request.Header.Set("Answer-Size", strconv.Itoa(load.ResponseSize))
	if a.Operation != "" {
		request.Header.Set("Oriole-Operation", a.Operation)
	}
	return request, nil
}

// classify sets the outcome of an attempt from a complete response and checks the
// body of a successful one. A target that receives direct requests names no outcome;
// its status 200 is Done. For a kind that runs at most once the body may belong to
// an earlier attempt of the same request.
func classify(load KindLoad, a Attempt, direct bool, response *http.Response, body []byte) Attempt {
	header := response.Header
	a.Outcome = Outcome(header.Get("Oriole-Outcome"))
	a.Final = header.Get("Oriole-Final") == "true"
	a.RetryAfter, _ = time.ParseDuration(header.Get("Oriole-Retry"))
	a.executor = header.Get("Oriole-Executor")
	if direct && a.Status == http.StatusOK {
		a.Outcome = Done
	}
	if a.Outcome != Done && a.Outcome != NotExecuted && a.Outcome != Unknown {
		a.Error = "the response has no valid Oriole-Outcome: " + string(a.Outcome)
		a.Outcome = Unknown
	}
	if a.Outcome != Done || a.Status != http.StatusOK {
		return a
	}
	id, err := generator.Check(body)
	if err != nil {
		a.Truncated, a.Error = true, err.Error()
	}
	a.Mismatched = id != a.ID && !(load.AtMostOnce && requestID(id) == requestID(a.ID))
	return a
}

// requestID returns the part of an attempt's id before the first dot, which is the
// id of its request.
func requestID(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return name
}
