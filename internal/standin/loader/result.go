package loader

import (
	"sync"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/sampler"
)

// Outcome is the outcome of an attempt or of a request.
type Outcome string

// The outcomes.
const (
	// Done means that the target's complete response arrived.
	Done Outcome = "done"
	// NotExecuted means that the request did not run.
	NotExecuted Outcome = "unrun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Unsent means that no instance could be reached. A request ends with it only if
	// all its attempts do.
	Unsent Outcome = "unsent"
)

// Attempt is one attempt to send a request.
type Attempt struct {
	// ID is the Request-Id of this attempt: the request's id, a dot, a number.
	ID string `json:"id"`
	// Operation is the operation id of a kind that runs at most once.
	Operation string    `json:"operation,omitempty"`
	Instance  string    `json:"instance"`
	Begin     time.Time `json:"begin"`
	End       time.Time `json:"end"`
	Status    int       `json:"status"`
	Outcome   Outcome   `json:"outcome"`
	// Final is set if the response said that a further attempt is useless.
	Final bool `json:"final,omitempty"`
	// RetryAfter is the pause before the next attempt that the response named, or 0.
	RetryAfter time.Duration `json:"retry,omitempty"`
	// Error says what went wrong in the attempt.
	Error string `json:"problem,omitempty"`
	// Truncated is set if a response with outcome done had an incomplete or mixed
	// body. Mismatched is set if its body belongs to another request.
	Truncated  bool `json:"cut,omitempty"`
	Mismatched bool `json:"crossed,omitempty"`

	// executor is the new executor token that a rejection named.
	executor string
}

// Request is one request with all its attempts.
type Request struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	AtMostOnce bool   `json:"once,omitempty"`
	// Begin is the scheduled time of the request. Latency counts from it.
	Begin   time.Time     `json:"begin"`
	Latency time.Duration `json:"latency"`
	// Status is the status of the last attempt that was sent.
	Status   int       `json:"status"`
	Outcome  Outcome   `json:"outcome"`
	Attempts []Attempt `json:"attempts"`
}

// Result is the result of a load.
type Result struct {
	Seed     int64         `json:"seed"`
	Begin    time.Time     `json:"begin"`
	Duration time.Duration `json:"duration"`
	// Labels describe the load for a reader of the result.
	Labels map[string]string `json:"labels,omitempty"`
	// Usage is the increase of the cost counters during the load.
	Usage sampler.Usage `json:"usage"`
	// AddressLookups is the number of address lookups.
	AddressLookups int64     `json:"asked"`
	Requests       []Request `json:"requests"`
}

// collector collects finished requests from several goroutines.
type collector struct {
	mu       sync.Mutex
	requests []Request
}

// add appends a finished request.
func (c *collector) add(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}
