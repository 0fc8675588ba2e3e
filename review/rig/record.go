package main

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
)

// run is a request at which an upstream began to work.
type run struct {
	id, upstream, service, method, path, body string
	at                                        time.Time
}

// record holds what was sent, answered and run.
type record struct {
	started time.Time

	mutex  sync.Mutex
	lines  []string
	runs   map[string][]run
	counts map[string]int
	broken []string
}

func newRecord() *record {
	return &record{started: time.Now(), runs: map[string][]run{}, counts: map[string]int{}}
}

// add adds a line.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line(format, values...)
}

func (r *record) line(format string, values ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%9.3f ", time.Since(r.started).Seconds())+fmt.Sprintf(format, values...))
}

// ran adds a run.
func (r *record) ran(x run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[x.id] = append(r.runs[x.id], x)
	r.line("run %s %s %s at %s", x.id, x.method, x.path, x.upstream)
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.runs[id])
}

// count adds to a figure.
func (r *record) count(name string, n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[name] += n
}

// breaks records that the rule was broken.
func (r *record) breaks(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line("RULE BROKEN: "+format, values...)
	r.broken = append(r.broken, r.lines[len(r.lines)-1])
}

// breaches returns how often the rule was broken.
func (r *record) breaches() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.broken)
}

// write writes the record to a file, the result first.
func (r *record) write(path, result string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	fmt.Fprintln(w, "result:", result)
	for _, name := range slices.Sorted(maps.Keys(r.counts)) {
		fmt.Fprintf(w, "%s: %d\n", name, r.counts[name])
	}
	for _, l := range r.broken {
		fmt.Fprintln(w, l)
	}
	fmt.Fprintln(w, "seconds since the start, and what happened:")
	for _, l := range r.lines {
		fmt.Fprintln(w, l)
	}
	return w.Flush()
}

// allRuns returns the runs of all requests.
func (r *record) allRuns() []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Concat(slices.Collect(maps.Values(r.runs))...)
}
