package correlator

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/gravitational/trace"
)

// maxLineBytes is the maximum length of a line that Read accepts. It bounds the memory
// that Read needs for a file without line ends.
const maxLineBytes = 1 << 20

// line is one line of a log.
type line struct {
	// process identifies the process that wrote the line, by its instance and the
	// number of starts of the instance up to this line.
	process   string
	timeOfDay time.Time
	// up is the monotonic time since the process started, if hasUp is true.
	up      time.Duration
	hasUp   bool
	text    string
	request string
}

// Timeline holds the log lines of instances and prints those of one request in order.
type Timeline struct {
	lines []line
	// startCounts is the number of starts of each instance in the lines read so far.
	startCounts map[string]int
}

// Read adds the lines of one log. It skips lines that it cannot parse and returns
// their number. It returns an error if a line is longer than maxLineBytes.
func (t *Timeline) Read(r io.Reader) (skipped int, err error) {
	if t.startCounts == nil {
		t.startCounts = map[string]int{}
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !t.addLine(scanner.Text()) {
			skipped++
		}
	}
	return skipped, trace.Wrap(scanner.Err())
}

// ReadFile adds the lines of the log at path and skips lines that it cannot parse.
func (t *Timeline) ReadFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	_, err = t.Read(f)
	return trace.Wrap(err, path)
}

// addLine adds a line and reports whether it could parse it.
func (t *Timeline) addLine(text string) bool {
	// A log collector may add a prefix to each line.
	begin := strings.Index(text, "level=")
	if begin < 0 {
		return false
	}
	text = text[begin:]
	d := logfmt.NewDecoder(strings.NewReader(text))
	if !d.ScanRecord() {
		return false
	}
	l := line{text: text}
	instance := ""
	for d.ScanKeyval() {
		value := string(d.Value())
		var err error
		switch string(d.Key()) {
		case "time":
			l.timeOfDay, err = time.Parse(time.RFC3339Nano, value)
		case "up":
			l.up, err = time.ParseDuration(value)
			l.hasUp = true
		case "instance":
			instance = value
		case "request":
			l.request = value
		}
		if err != nil {
			return false
		}
	}
	if d.Err() != nil {
		return false
	}
	if strings.Contains(text, "msg=started") {
		t.startCounts[instance]++
	}
	l.process = fmt.Sprint(instance, "/", t.startCounts[instance])
	t.lines = append(t.lines, l)
	return true
}

// Print writes the lines of one request. If around is positive, it also writes the
// lines that belong to no request and were logged by the processes that handled the
// request, from around before the request's first line to around after its last one.
// Each line starts with the time since the first line of the request, in milliseconds.
func (t *Timeline) Print(w io.Writer, request string, around time.Duration) error {
	timeOf := t.monotonicClock()
	var first, last time.Time
	involved := map[string]bool{}
	for _, l := range t.lines {
		if l.request != request {
			continue
		}
		involved[l.process] = true
		if when := timeOf(l); first.IsZero() || when.Before(first) {
			first = when
		}
		if when := timeOf(l); when.After(last) {
			last = when
		}
	}
	if first.IsZero() {
		return trace.NotFound("the logs have no line with request=%q", request)
	}
	var selected []line
	for _, l := range t.lines {
		own := l.request == request
		nearby := around > 0 && l.request == "" && involved[l.process] && !timeOf(l).Before(first.Add(-around)) && !timeOf(l).After(last.Add(around))
		if own || nearby {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b line) int { return timeOf(a).Compare(timeOf(b)) })
	for _, l := range selected {
		if _, err := fmt.Fprintf(w, "%10.1f ms  %s\n", float64(timeOf(l).Sub(first).Microseconds())/1000, l.text); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// monotonicClock returns a function that returns the time of a line by a clock that
// does not jump. For a line without the field up, that is its time of day.
func (t *Timeline) monotonicClock() func(l line) time.Time {
	estimates := map[string][]time.Time{}
	for _, l := range t.lines {
		if l.hasUp {
			estimates[l.process] = append(estimates[l.process], l.timeOfDay.Add(-l.up))
		}
	}
	startTimes := map[string]time.Time{}
	for p, all := range estimates {
		slices.SortFunc(all, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
		startTimes[p] = all[len(all)/2]
	}
	return func(l line) time.Time {
		if !l.hasUp {
			return l.timeOfDay
		}
		return startTimes[l.process].Add(l.up)
	}
}
