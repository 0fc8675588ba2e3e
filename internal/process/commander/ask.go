package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// fetchTimeout is the timeout of one request to an instance.
const fetchTimeout = 5 * time.Second

// askOptions are the flags of the subcommand ask.
var askOptions = []option{
	{name: "instance", help: "address of an instance", required: true, check: checkAddress},
	{name: "place", help: "place of the service; the default is the place of the instance", check: checkName},
	{name: "service", help: "name of the service", required: true, check: checkName},
	{name: "kind", help: "request kind", check: checkName},
}

func newAsk() *cobra.Command {
	c := &cobra.Command{
		Use:   "ask",
		Short: "Ask an instance which addresses a caller should use",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := readValues(c, askOptions)
			if err != nil {
				return trace.Wrap(err)
			}
			return ask(c.Context(), v, c.OutOrStdout())
		},
	}
	addFlags(c, askOptions)
	return c
}

func ask(ctx context.Context, v values, out io.Writer) error {
	query := url.Values{}
	for _, name := range []string{"place", "service", "kind"} {
		if v[name] != "" {
			query.Set(name, v[name])
		}
	}
	text, err := fetch(ctx, "http://"+v["instance"]+"/v1/address?"+query.Encode())
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return trace.Wrap(err)
}

// fetch returns the body of the response to a GET request for pageURL.
func fetch(ctx context.Context, pageURL string) ([]byte, error) {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, pageURL, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.Wrap(err, "no response from %s", pageURL)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, trace.Wrap(err, "cannot read the response of %s", pageURL)
	}
	if response.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s returned status %s, expected 200: %s", pageURL, response.Status, body)
	}
	return body, nil
}
