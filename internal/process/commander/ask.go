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

// askTimeout bounds one question to an instance.
const askTimeout = 5 * time.Second

// askOptions are the flags of the verb ask.
var askOptions = []option{
	{name: "instance", text: "address of an instance", required: true, check: checkAddress},
	{name: "place", text: "place of the service, the instance's own by default", check: checkWord},
	{name: "service", text: "name of the service", required: true, check: checkWord},
	{name: "kind", text: "request kind", check: checkWord},
}

func newAsk() *cobra.Command {
	c := &cobra.Command{
		Use:   "ask",
		Short: "Ask an instance which addresses a caller should use",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			found, err := read(c, askOptions)
			if err != nil {
				return trace.Wrap(err)
			}
			return ask(c.Context(), found, c.OutOrStdout())
		},
	}
	register(c, askOptions)
	return c
}

func ask(ctx context.Context, found values, out io.Writer) error {
	query := url.Values{}
	for _, name := range []string{"place", "service", "kind"} {
		if found[name] != "" {
			query.Set(name, found[name])
		}
	}
	text, err := get(ctx, "http://"+found["instance"]+"/v1/address?"+query.Encode())
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return trace.Wrap(err)
}

// get reads a page of an instance.
func get(ctx context.Context, page string) ([]byte, error) {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, page, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, trace.Wrap(err, "no answer from %s", page)
	}
	defer p.Body.Close()
	text, err := io.ReadAll(p.Body)
	if err != nil {
		return nil, trace.Wrap(err, "the answer of %s broke off", page)
	}
	if p.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s answered %s: %s", page, p.Status, text)
	}
	return text, nil
}
