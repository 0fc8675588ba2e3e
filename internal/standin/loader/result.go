package loader

import (
	"sync"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/sampler"
)

// Outcome is the end of an attempt or of a request.
type Outcome string

// The outcomes.
const (
	// Done is the target's whole answer.
	Done Outcome = "done"
	// NotExecuted means that the request did not run.
	NotExecuted Outcome = "unrun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Unsent means that no instance could be reached; only attempts and
	// requests without any other attempt end so.
	Unsent Outcome = "unsent"
)

// Attempt is one sending of a request.
type Attempt struct {
	// ID is the Request-Id of this attempt: the request's id, a dot, a number.
	ID string `json:"id"`
	// Operation is the operation id of a once kind.
	Operation string    `json:"operation,omitempty"`
	Instance  string    `json:"instance"`
	Begin     time.Time `json:"begin"`
	End       time.Time `json:"end"`
	Status    int       `json:"status"`
	Outcome   Outcome   `json:"outcome"`
	// Final is set when the system said that trying again is useless.
	Final bool `json:"final,omitempty"`
	// RetryAfter is when to come back, if the system said so.
	RetryAfter time.Duration `json:"retry,omitempty"`
	// Error tells what broke on the way.
	Error string `json:"problem,omitempty"`
	// Truncated is set when an answer looked whole and was not, Crossed when it was
	// the answer to another request.
	Truncated  bool `json:"cut,omitempty"`
	Mismatched bool `json:"crossed,omitempty"`

	// executor is the fresh token that came with a refusal.
	executor string
}

// Request is one request with all its attempts.
type Request struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	AtMostOnce bool   `json:"once,omitempty"`
	// Begin is the time at which the request was due.
	Begin   time.Time     `json:"begin"`
	Latency time.Duration `json:"latency"`
	// Status is that of the last attempt.
	Status   int       `json:"status"`
	Outcome  Outcome   `json:"outcome"`
	Attempts []Attempt `json:"attempts"`
}

// Result is the outcome of a whole load.
type Result struct {
	Seed     int64         `json:"seed"`
	Begin    time.Time     `json:"begin"`
	Duration time.Duration `json:"duration"`
	// Labels tell what the load was for.
	Labels map[string]string `json:"labels,omitempty"`
	// Usage is what the load cost.
	Usage sampler.Usage `json:"usage"`
	// AddressLookups counts the questions for addresses.
	AddressLookups int64     `json:"asked"`
	Requests       []Request `json:"requests"`
}

// collector gathers requests from many goroutines.
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
