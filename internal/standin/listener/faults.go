package listener

import (
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// Fault is a named fault of a stand-in.
type Fault struct {
	// On brings the fault on; parameters is the body of the call without the
	// space around it. Off ends the fault.
	On  func(parameters string) error
	Off func()
}

// RegisterFaults adds the routes that bring faults on and end them: PUT and DELETE
// /fault/<name>.
func RegisterFaults(e *echo.Echo, faults map[string]Fault) {
	find := func(c echo.Context) (Fault, error) {
		f, found := faults[c.Param("name")]
		if !found {
			return f, echo.NewHTTPError(http.StatusNotFound, "unknown fault")
		}
		return f, nil
	}
	e.PUT("/fault/:name", func(c echo.Context) error {
		f, err := find(c)
		if err != nil {
			return err
		}
		text, err := io.ReadAll(c.Request().Body)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := f.On(strings.TrimSpace(string(text))); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return c.NoContent(http.StatusNoContent)
	})
	e.DELETE("/fault/:name", func(c echo.Context) error {
		f, err := find(c)
		if err != nil {
			return err
		}
		f.Off()
		return c.NoContent(http.StatusNoContent)
	})
}

// CloseConnection closes the connection under a request without an answer, or in the
// middle of one that has begun.
func CloseConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(conn.Close())
}
