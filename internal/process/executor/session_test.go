package executor

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/replayer"
)

var localPeer = netip.MustParseAddrPort("10.0.0.1:7001")

var sessionLimits = Limits{
	EpochDuration: 10 * time.Second, TokenGrace: 5 * time.Second, RecordRetention: time.Minute, EpochCapacity: 3, MaxEpochs: 4, MaxResponseBytes: 1000,
}

// session runs the events of a session file on one table.
type session struct {
	table   *Table
	records map[string]*Record
}

// parseID parses "EPOCH/PART", or "PEER~INCARNATION~EPOCH/PART" for another executor.
func (s *session) parseID(text string) OperationID {
	if o, err := ParseOperationID(text); err == nil {
		return o
	}
	number, part, _ := strings.Cut(text, "/")
	epoch, _ := strconv.ParseUint(number, 10, 64)
	return OperationID{Token: Token{Peer: localPeer, Incarnation: 1, Epoch: epoch}, Part: part}
}

func (s *session) run(e replayer.Event) string {
	switch e.Verb {
	case "token":
		token, ok := s.table.Token(e.Now)
		if !ok {
			return "none"
		}
		return fmt.Sprintf("epoch %d", token.Epoch)
	case "begin":
		return s.begin(e)
	case "send":
		return strconv.FormatBool(s.table.MarkSent(s.records[e.Arg(0)], e.Now))
	case "unmark-sent":
		s.table.UnmarkSent(s.records[e.Arg(0)])
		return ""
	case "finish":
		s.table.Finish(s.records[e.Arg(0)], parseOutcome(e.Args[1:]), e.Now)
		return describe(s.records[e.Arg(0)])
	case "configure":
		limits := sessionLimits
		limits.EpochDuration, _ = time.ParseDuration(e.Arg(0))
		limits.RecordRetention, _ = time.ParseDuration(e.Arg(1))
		s.table.Configure(limits, e.Now)
		return ""
	case "close":
		s.table.Close(e.Now)
		return ""
	case "stats":
		return fmt.Sprintf("%+v", s.table.Stats())
	}
	return "unknown verb"
}

// begin runs the event "begin ID [FINGERPRINT [DEADLINE]]".
func (s *session) begin(e replayer.Event) string {
	fingerprint, _ := strconv.ParseUint(e.Arg(1), 10, 64)
	deadline := e.Now.Add(2 * time.Second)
	if left, err := time.ParseDuration(e.Arg(2)); err == nil {
		deadline = e.Now.Add(left)
	}
	d := s.table.Begin(s.parseID(e.Arg(0)), fingerprint, deadline, e.Now)
	if d.Action == Run {
		s.records[e.Arg(0)] = d.Record
	}
	if d.Action == Wait {
		return "wait: " + describe(d.Record)
	}
	return d.Action.String()
}

// parseOutcome parses "done SIZE", "unrun REASON" or "unknown REASON".
func parseOutcome(args []string) Outcome {
	switch args[0] {
	case "done":
		size, _ := strconv.Atoi(args[1])
		return Outcome{Result: Done, Status: 200, Body: make([]byte, size)}
	case "unrun":
		return Outcome{Result: NotExecuted, Reason: strings.Join(args[1:], " ")}
	}
	return Outcome{Result: Unknown, Reason: strings.Join(args[1:], " ")}
}

// describe returns the outcome of a record as a session file shows it.
func describe(r *Record) string {
	o := r.Outcome()
	if o == nil {
		return "running"
	}
	text := o.Result.String()
	if o.Dropped {
		text += " dropped"
	}
	if o.Reason != "" {
		text += " (" + o.Reason + ")"
	}
	return text
}

// TestSessions runs each testdata/*.session file on a new table and compares the
// result of each event with the one after "=>". The comments in each file state the
// rules that it checks.
func TestSessions(t *testing.T) {
	replayer.Check(t, func() func(replayer.Event) string {
		s := &session{table: New(localPeer, 1, sessionLimits, replayer.Epoch), records: make(map[string]*Record)}
		return s.run
	})
}
