package listener

import (
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// Fault is a fault of a stand-in.
type Fault struct {
	// On starts the fault. Its argument is the body of the call without surrounding
	// space. Off ends the fault.
	On  func(parameters string) error
	Off func()
}

// RegisterFaults adds the routes PUT and DELETE /fault/<name>, which start and end a
// fault.
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

// CloseConnection closes the connection of a request before or during its response.
func CloseConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(conn.Close())
}
