package commander

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// sendTimeout bounds one call of a script.
const sendTimeout = 10 * time.Second

// sendCommand makes one HTTP call, so that scripts need no other client.
func sendCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "send METHOD URL [BODY]",
		Short: "Make one HTTP call; BODY - reads standard input",
		Args:  cobra.RangeArgs(2, 3),
		RunE: func(c *cobra.Command, args []string) error {
			var body io.Reader = http.NoBody
			if len(args) == 3 {
				body = strings.NewReader(args[2])
			}
			if len(args) == 3 && args[2] == "-" {
				body = c.InOrStdin()
			}
			answer, err := call(args[0], args[1], body)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(c.OutOrStdout(), string(answer))
			return trace.Wrap(err)
		},
	}
}

// call makes one HTTP call and returns the body of a successful answer.
func call(method, url string, body io.Reader) ([]byte, error) {
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if strings.Contains(url, "/admin/targets") || strings.Contains(url, "/admin/instances") {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: sendTimeout}
	answer, err := client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return nil, trace.BadParameter("%s %s answered %s: %s", method, url, answer.Status, text)
	}
	return text, nil
}
