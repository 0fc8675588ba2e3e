package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	file    *os.File
	started time.Time

	mutex sync.Mutex
	// runs holds the names of the upstreams that ran a request, by its identifier.
	runs map[string][]string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now(), runs: map[string][]string{}}, err
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that an upstream began to work on a request.
func (r *record) ran(id, upstream string) {
	r.mutex.Lock()
	r.runs[id] = append(r.runs[id], upstream)
	r.mutex.Unlock()
	r.line("run      %s at %s", id, upstream)
}

// runsOf returns the upstreams that ran a request.
func (r *record) runsOf(id string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.runs[id]...)
}
