package replayer

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// Epoch is the time at which each session starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// directory holds the sessions of a package.
	directory = "testdata"
	// suffix ends the name of a session's file.
	suffix = ".session"
)

// resultMark separates an event from its result.
const resultMark = " => "

// Event is one line of a session.
type Event struct {
	Now  time.Time
	Verb string
	Args []string
}

// Arg returns an argument, or the empty text when the line has fewer.
func (e Event) Arg(i int) string {
	if i >= len(e.Args) {
		return ""
	}
	return e.Args[i]
}

// Check replays every session of the package, each with a new function that runs
// its events, and compares the results with those that are written.
func Check(t *testing.T, begin func() func(Event) string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*"+suffix))
	if err != nil || len(files) == 0 {
		t.Fatal("no sessions", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), suffix)
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got, err := replay(string(text), begin())
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir(directory), goldie.WithNameSuffix(suffix)).Assert(t, name, []byte(got))
		})
	}
}

// replay runs the events of a session and returns the session with the results
// that the function gave. An event without a result gets no mark.
func replay(session string, do func(Event) string) (string, error) {
	var out strings.Builder
	for i, line := range strings.Split(strings.TrimRight(session, "\n"), "\n") {
		text, _, _ := strings.Cut(line, resultMark)
		text = strings.TrimRight(text, " ")
		fields := strings.Fields(text)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			out.WriteString(text + "\n")
			continue
		}
		offset, err := time.ParseDuration(fields[0])
		if err != nil || len(fields) < 2 {
			return "", fmt.Errorf("line %d: %q has no time and verb", i+1, line)
		}
		result := do(Event{Now: Epoch.Add(offset), Verb: fields[1], Args: fields[2:]})
		if result != "" {
			text += resultMark + result
		}
		out.WriteString(text + "\n")
	}
	return out.String(), nil
}
