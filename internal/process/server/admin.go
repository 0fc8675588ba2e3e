package server

import (
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/labstack/echo/v4"

	"oriolecourse.example/oriolecourse/internal/process/accountant"
	"oriolecourse.example/oriolecourse/internal/process/meter"
)

// Peer is a member of the fleet in the view of an instance.
type Peer struct {
	Address     string `json:"address"`
	Peer        string `json:"peer"`
	Admin       string `json:"admin,omitempty"`
	Place       string `json:"place"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Leaving     bool   `json:"leaving"`
}

// Admin serves the HTTP interface for operators. All fields must be set before the
// first use.
type Admin struct {
	// Ready reports whether the instance accepts requests of callers.
	Ready func() bool
	// MetricsHandler serves the metrics at the paths of meter.Meter.Handler.
	MetricsHandler http.Handler
	// Cost returns the costs up to now.
	Cost func(now time.Time) accountant.Report
	// Explain returns the state of the instance with the reasons of its latest choices.
	Explain func(now time.Time) any
	// Peers returns the members that the instance knows, itself included.
	Peers func() []Peer
	// SetBlocked blocks or allows the exchange of messages with a peer address. Tests
	// use it to cause network partitions.
	SetBlocked func(address string, blocked bool) error
}

// Router returns the HTTP handler of the interface.
func (a *Admin) Router() http.Handler {
	e := echo.New()
	e.GET("/healthz", a.health)
	e.GET(meter.Path, echo.WrapHandler(a.MetricsHandler))
	e.GET(meter.RuntimePath, echo.WrapHandler(a.MetricsHandler))
	e.GET("/v1/cost", func(c echo.Context) error { return c.JSON(http.StatusOK, a.Cost(time.Now())) })
	e.GET("/v1/explain", func(c echo.Context) error { return c.JSON(http.StatusOK, a.Explain(time.Now())) })
	e.GET("/v1/peers", func(c echo.Context) error { return c.JSON(http.StatusOK, a.Peers()) })
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	e.PUT("/v1/cuts/:address", func(c echo.Context) error { return a.setBlocked(c, true) })
	e.DELETE("/v1/cuts/:address", func(c echo.Context) error { return a.setBlocked(c, false) })
	return e
}

func (a *Admin) health(c echo.Context) error {
	if a.Ready() {
		return c.String(http.StatusOK, "ready\n")
	}
	return c.String(http.StatusServiceUnavailable, "not ready\n")
}

func (a *Admin) setBlocked(c echo.Context, blocked bool) error {
	if err := a.SetBlocked(c.Param("address"), blocked); err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	return c.NoContent(http.StatusNoContent)
}
