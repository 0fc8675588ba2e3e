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

// maxWait bounds the waiting time of one watch.
const maxWait = 60 * time.Second

// Publisher is the platform stand-in.
type Publisher struct {
	settings *document
	list     *document
	faults   faults
	// reads and watches count the calls of readers. A watch counts once, however
	// long it waits.
	reads, watches atomic.Uint64

	mu sync.Mutex
	// current is the newest list, which the /admin routes change.
	current lister.List
}

// Calls is the response of GET /admin/calls.
type Calls struct {
	// Reads is the number of calls without waiting, Watches the number of calls that
	// may wait.
	Reads   uint64 `json:"reads"`
	Watches uint64 `json:"watches"`
	// Total is the sum of Reads and Watches.
	Total uint64 `json:"total"`
}

// New returns a platform without published documents.
func New() *Publisher {
	return &Publisher{settings: newDocument(), list: newDocument()}
}

// Handler returns the routes of the platform.
func (p *Publisher) Handler() http.Handler {
	e := listener.NewRouter()
	e.GET("/v1/settings", p.documentHandler(p.settings, "application/yaml"))
	e.GET("/v1/list", p.documentHandler(p.list, echo.MIMEApplicationJSON))
	e.GET("/admin/calls", p.getCalls)
	e.PUT("/admin/settings", p.putSettings)
	e.PUT("/admin/list", p.putList)
	e.GET("/admin/list", p.getList)
	e.POST("/admin/targets", p.postTarget)
	e.DELETE("/admin/targets/:address", p.deleteTarget)
	e.POST("/admin/instances", p.postInstance)
	e.DELETE("/admin/instances/:address", p.deleteInstance)
	listener.RegisterFaults(e, p.namedFaults())
	return e
}

// documentHandler returns the handler of reads and watches of a document.
func (p *Publisher) documentHandler(d *document, mime string) echo.HandlerFunc {
	return func(c echo.Context) error {
		after, wait, err := parseWatch(c)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		p.count(wait)
		if done, err := p.faults.applyFaults(c, time.Now()); done {
			return err
		}
		return p.sendNewer(c, d, mime, after, wait)
	}
}

// sendNewer waits for a revision with a number above after and sends it. If none
// appears within wait, the response is 304.
func (p *Publisher) sendNewer(c echo.Context, d *document, mime string, after uint64, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r, changed := d.current()
		if r.number > after {
			return c.Blob(http.StatusOK, mime, r.text)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.NoContent(http.StatusNotModified)
		case <-p.faults.disconnectSignal():
			return listener.CloseConnection(c)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// parseWatch parses the query parameters after and wait of a watch. A plain read has
// neither, and both are 0.
func parseWatch(c echo.Context) (after uint64, wait time.Duration, err error) {
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

// count counts one call as a read or as a watch.
func (p *Publisher) count(wait time.Duration) {
	if wait > 0 {
		p.watches.Add(1)
		return
	}
	p.reads.Add(1)
}

// getCalls returns the numbers of calls.
func (p *Publisher) getCalls(c echo.Context) error {
	calls := Calls{Reads: p.reads.Load(), Watches: p.watches.Load()}
	calls.Total = calls.Reads + calls.Watches
	return c.JSON(http.StatusOK, calls)
}

// putSettings publishes a settings tree unchanged, valid or not, as an operator's
// tool does. Readers check it.
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

// putList publishes a whole list. The published revision is that of the list if it
// is above the current one, and otherwise the current one plus 1.
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

// getList returns the newest list, whatever faults are on.
func (p *Publisher) getList(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(http.StatusOK, p.current)
}

// change applies an edit to the current list and publishes it with the next
// revision.
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
