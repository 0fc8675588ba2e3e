package publisher

import (
	"net/http"
	"net/netip"
	"slices"

	"github.com/labstack/echo/v4"

	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// postTarget adds a target or replaces the one with the same address.
func (p *Publisher) postTarget(c echo.Context) error {
	t := lister.Target{State: lister.Live}
	if err := c.Bind(&t); err != nil {
		return err
	}
	return p.change(c, func(l *lister.List) {
		same := func(o lister.Target) bool { return o.Address == t.Address }
		l.Targets = append(slices.DeleteFunc(slices.Clone(l.Targets), same), t)
	})
}

// deleteTarget removes a target.
func (p *Publisher) deleteTarget(c echo.Context) error {
	address, err := netip.ParseAddrPort(c.Param("address"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return p.change(c, func(l *lister.List) {
		same := func(o lister.Target) bool { return o.Address == address }
		l.Targets = slices.DeleteFunc(slices.Clone(l.Targets), same)
	})
}

// postInstance adds an instance or replaces the one with the same address.
func (p *Publisher) postInstance(c echo.Context) error {
	i := lister.Instance{State: lister.Live}
	if err := c.Bind(&i); err != nil {
		return err
	}
	return p.change(c, func(l *lister.List) {
		same := func(o lister.Instance) bool { return o.Address == i.Address }
		l.Instances = append(slices.DeleteFunc(slices.Clone(l.Instances), same), i)
	})
}

// deleteInstance removes an instance.
func (p *Publisher) deleteInstance(c echo.Context) error {
	address, err := netip.ParseAddrPort(c.Param("address"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return p.change(c, func(l *lister.List) {
		same := func(o lister.Instance) bool { return o.Address == address }
		l.Instances = slices.DeleteFunc(slices.Clone(l.Instances), same)
	})
}
