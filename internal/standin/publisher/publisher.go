package publisher

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"gopkg.in/yaml.v3"

	"oriolecourse.example/oriolecourse/internal/standin/listener"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// maxWait bounds one waiting watch.
const maxWait = 60 * time.Second

// Publisher is the platform's stand-in.
type Publisher struct {
	settings *document
	list     *document
	faults   faults
	// reads and watches count calls; a waiting watch counts once.
	reads, watches atomic.Uint64

	mu sync.Mutex
	// current is the list that the upserting routes change.
	current lister.List
}

// Calls is the answer of GET /admin/calls.
type Calls struct {
	// Reads counts calls without waiting, Watches those that may wait.
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	// Total is the sum of both.
	Total uint64 `json:"total"`
}

// New returns a platform that has published nothing.
func New() *Publisher {
	return &Publisher{settings: newDocument(), list: newDocument()}
}

// Handler returns the routes of the platform.
func (p *Publisher) Handler() http.Handler {
	e := listener.NewRouter()
	e.GET("/v1/settings", p.read(p.settings, "application/yaml"))
	e.GET("/v1/list", p.read(p.list, echo.MIMEApplicationJSON))
	e.GET("/admin/calls", p.calls)
	e.PUT("/admin/settings", p.putSettings)
	e.PUT("/admin/list", p.putList)
	e.GET("/admin/list", p.getList)
	e.POST("/admin/targets", p.postTarget)
	e.DELETE("/admin/targets/:address", p.deleteTarget)
	e.POST("/admin/instances", p.postInstance)
	e.DELETE("/admin/instances/:address", p.deleteInstance)
	listener.RegisterFaults(e, p.named())
	return e
}

// read answers reads and waiting watches of one document.
func (p *Publisher) read(d *document, mime string) echo.HandlerFunc {
	return func(c echo.Context) error {
		after, wait, err := watch(c)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		p.count(wait)
		if done, err := p.faults.disturb(c, time.Now()); done {
			return err
		}
		return p.answer(c, d, mime, after, wait)
	}
}

// answer waits for a revision above after and sends it.
func (p *Publisher) answer(c echo.Context, d *document, mime string, after uint64, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r, changed := d.served()
		if r.number > after {
			return c.Blob(http.StatusOK, mime, r.text)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.NoContent(http.StatusNotModified)
		case <-p.faults.cut():
			return listener.CloseConnection(c)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// watch reads the parameters of a watch. Both are 0 for a plain read.
func watch(c echo.Context) (after uint64, wait time.Duration, err error) {
	if text := c.QueryParam("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, trace.Wrap(err)
		}
	}
	if text := c.QueryParam("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return 0, 0, trace.Wrap(err)
		}
	}
	return after, min(wait, maxWait), nil
}

// count adds one call.
func (p *Publisher) count(wait time.Duration) {
	if wait > 0 {
		p.watches.Add(1)
		return
	}
	p.reads.Add(1)
}

// calls tells how many calls the readers made.
func (p *Publisher) calls(c echo.Context) error {
	counted := Calls{Reads: p.reads.Load(), Watches: p.watches.Load()}
	counted.Total = counted.Reads + counted.Watches
	return c.JSON(http.StatusOK, counted)
}

// putSettings publishes a settings tree as it stands, valid or not, as an
// operator's tool would: checking is the readers' task.
func (p *Publisher) putSettings(c echo.Context) error {
	text, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return trace.Wrap(err)
	}
	var head struct {
		Version uint64 `yaml:"version"`
	}
	if err := yaml.Unmarshal(text, &head); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the settings name no version: "+err.Error())
	}
	p.settings.publish(head.Version, text)
	return c.NoContent(http.StatusNoContent)
}

// putList publishes a whole list. Its revision is kept if it is a higher one.
func (p *Publisher) putList(c echo.Context) error {
	text, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return trace.Wrap(err)
	}
	l, err := lister.Decode(text)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return p.change(c, func(current *lister.List) {
		revision := max(current.Revision, l.Revision-min(l.Revision, 1))
		*current = *l
		current.Revision = revision
	})
}

// getList shows the newest list, whatever the faults.
func (p *Publisher) getList(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(http.StatusOK, p.current)
}

// change applies an edit to the current list and publishes the result.
func (p *Publisher) change(c echo.Context, edit func(*lister.List)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	edit(&p.current)
	p.current.Revision++
	text, err := json.Marshal(p.current)
	if err != nil {
		return trace.Wrap(err)
	}
	p.list.publish(p.current.Revision, text)
	return c.NoContent(http.StatusNoContent)
}
