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

// send makes one attempt. It tells an instance that was not reached from one
// whose answer is missing, since only the latter may have run the request.
func (c *caller) send(ctx context.Context, m KindLoad, a Attempt, address netip.AddrPort) Attempt {
	a.Instance, a.Begin = address.String(), time.Now()
	time.Sleep(c.settings.NetworkDelay)
	request, err := c.request(ctx, m, a, address)
	if err != nil {
		a.Outcome, a.Error = Unsent, err.Error()
		return a
	}
	reply, err := c.client.Do(request)
	if err != nil {
		a.Outcome, a.Error, a.End = Unknown, err.Error(), time.Now()
		if dial := (*net.OpError)(nil); errors.As(err, &dial) && dial.Op == "dial" {
			a.Outcome = Unsent
		}
		return a
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	time.Sleep(c.settings.NetworkDelay)
	a.End, a.Status = time.Now(), reply.StatusCode
	if err != nil {
		a.Outcome, a.Error = Unknown, err.Error()
		return a
	}
	return classify(m, a, c.settings.Direct, reply, body)
}

// request builds the HTTP request of an attempt. The method is POST, since
// net/http sends a GET again by itself when a connection breaks, and a hidden
// second sending would not be an attempt of its own in the result.
func (c *caller) request(ctx context.Context, m KindLoad, a Attempt, address netip.AddrPort) (*http.Request, error) {
	url := "http://" + address.String() + "/s/" + m.Service + "/" + m.Kind + "/item"
	if c.settings.Direct {
		url = "http://" + address.String() + "/" + m.Kind + "/item"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Request-Id", a.ID)
	request.Header.Set("Answer-Size", strconv.Itoa(m.ResponseSize))
	if a.Operation != "" {
		request.Header.Set("Oriole-Operation", a.Operation)
	}
	return request, nil
}

// classify reads the outcome from a whole answer and checks its body.
func classify(m KindLoad, a Attempt, direct bool, reply *http.Response, body []byte) Attempt {
	header := reply.Header
	a.Outcome = Outcome(header.Get("Oriole-Outcome"))
	a.Final = header.Get("Oriole-Final") == "true"
	a.RetryAfter, _ = time.ParseDuration(header.Get("Oriole-Retry"))
	a.executor = header.Get("Oriole-Executor")
	if direct && a.Status == http.StatusOK {
		a.Outcome = Done
	}
	if a.Outcome != Done && a.Outcome != NotExecuted && a.Outcome != Unknown {
		a.Error = "the answer names no outcome: " + string(a.Outcome)
		a.Outcome = Unknown
	}
	if a.Outcome != Done || a.Status != http.StatusOK {
		return a
	}
	id, err := generator.Check(body)
	if err != nil {
		a.Truncated, a.Error = true, err.Error()
	}
	a.Mismatched = id != a.ID && !(m.AtMostOnce && base(id) == base(a.ID))
	return a
}

// base returns the request's id of an attempt's id.
func base(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return name
}
