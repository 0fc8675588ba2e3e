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

// sendTimeout limits an HTTP call.
const sendTimeout = 10 * time.Second

// sendCommand makes an HTTP call, so that scripts need no other HTTP client.
func sendCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "send METHOD URL [BODY]",
		Short: "Make an HTTP call; if BODY is -, read it from standard input",
		Args:  cobra.RangeArgs(2, 3),
		RunE: func(c *cobra.Command, args []string) error {
			var body io.Reader = http.NoBody
			if len(args) == 3 {
				body = strings.NewReader(args[2])
			}
			if len(args) == 3 && args[2] == "-" {
				body = c.InOrStdin()
			}
			responseBody, err := call(args[0], args[1], body)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(c.OutOrStdout(), string(responseBody))
			return trace.Wrap(err)
		},
	}
}

// call makes an HTTP call and returns the response body. A status of 400 or above is an
// error.
func call(method, url string, body io.Reader) ([]byte, error) {
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// The stand-in of the platform decodes a JSON entry only with this type. Other
	// bodies, such as a settings tree, need no type.
	if strings.Contains(url, "/admin/targets") || strings.Contains(url, "/admin/instances") {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: sendTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, trace.BadParameter("%s %s returned status %s: %s", method, url, response.Status, text)
	}
	return text, nil
}
