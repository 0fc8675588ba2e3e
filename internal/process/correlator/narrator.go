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

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// line is one line of a log.
type line struct {
	// process names one process: its instance and which of its starts.
	process string
	clock   time.Time
	up      time.Duration
	known   bool
	text    string
	request string
}

// Timeline reads logs.
type Timeline struct {
	lines []line
	// starts counts the starts of each instance.
	starts map[string]int
}

// Read takes in one log. Lines that cannot be read are skipped, and counted.
func (s *Timeline) Read(r io.Reader) (skipped int, err error) {
	if s.starts == nil {
		s.starts = map[string]int{}
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if !s.add(scanner.Text()) {
			skipped++
		}
	}
	return skipped, trace.Wrap(scanner.Err())
}

// ReadFile takes in the log in a file.
func (s *Timeline) ReadFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	_, err = s.Read(f)
	return trace.Wrap(err, path)
}

func (s *Timeline) add(text string) bool {
	// Whoever gathers logs may put words of their own before a line.
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
			l.clock, err = time.Parse(time.RFC3339Nano, value)
		case "up":
			l.up, err = time.ParseDuration(value)
			l.known = true
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
		s.starts[instance]++
	}
	l.process = fmt.Sprint(instance, "/", s.starts[instance])
	s.lines = append(s.lines, l)
	return true
}

// Print writes the lines of one request and, with around, what else happened at the
// instances that handled it within that time before its first line and after its
// last one.
func (s *Timeline) Print(w io.Writer, request string, around time.Duration) error {
	at := s.order()
	var first, last time.Time
	concerned := map[string]bool{}
	for _, l := range s.lines {
		if l.request != request {
			continue
		}
		concerned[l.process] = true
		if t := at(l); first.IsZero() || t.Before(first) {
			first = t
		}
		if t := at(l); t.After(last) {
			last = t
		}
	}
	if first.IsZero() {
		return trace.NotFound("no line names the request %q", request)
	}
	var told []line
	for _, l := range s.lines {
		own := l.request == request
		near := around > 0 && l.request == "" && concerned[l.process] && !at(l).Before(first.Add(-around)) && !at(l).After(last.Add(around))
		if own || near {
			told = append(told, l)
		}
	}
	slices.SortStableFunc(told, func(a, b line) int { return at(a).Compare(at(b)) })
	for _, l := range told {
		if _, err := fmt.Fprintf(w, "%10.1f ms  %s\n", float64(at(l).Sub(first).Microseconds())/1000, l.text); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// order returns the time of a line by a clock that does not jump.
func (s *Timeline) order() func(l line) time.Time {
	offsets := map[string][]time.Time{}
	for _, l := range s.lines {
		if l.known {
			offsets[l.process] = append(offsets[l.process], l.clock.Add(-l.up))
		}
	}
	began := map[string]time.Time{}
	for p, all := range offsets {
		slices.SortFunc(all, func(a, b time.Time) int { return cmp.Compare(a.UnixNano(), b.UnixNano()) })
		began[p] = all[len(all)/2]
	}
	return func(l line) time.Time {
		if !l.known {
			return l.clock
		}
		return began[l.process].Add(l.up)
	}
}
