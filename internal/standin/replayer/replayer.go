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

// Epoch is the time at which every session starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// directory is the folder of a package that holds its session files.
	directory = "testdata"
	// suffix is the file name extension of session files.
	suffix = ".session"
)

// resultSeparator stands between an event and its result.
const resultSeparator = " => "

// Event is one line of a session.
type Event struct {
	// Now is the time of the event.
	Now  time.Time
	Verb string
	Args []string
}

// Arg returns the argument with index i, or "" if the line has fewer arguments.
func (e Event) Arg(i int) string {
	if i >= len(e.Args) {
		return ""
	}
	return e.Args[i]
}

// Check replays every session file of the package and compares the results with the
// file. It calls newRunner once per session for a function that runs an event and
// returns its result.
func Check(t *testing.T, newRunner func() func(Event) string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*"+suffix))
	if err != nil || len(files) == 0 {
		t.Fatal("found no session files in testdata:", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), suffix)
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got, err := replay(string(text), newRunner())
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t, goldie.WithFixtureDir(directory), goldie.WithNameSuffix(suffix)).Assert(t, name, []byte(got))
		})
	}
}

// replay runs the events of a session and returns the session with the results of
// runEvent. A line whose result is empty gets no separator.
func replay(session string, runEvent func(Event) string) (string, error) {
	var out strings.Builder
	for i, line := range strings.Split(strings.TrimRight(session, "\n"), "\n") {
		text, _, _ := strings.Cut(line, resultSeparator)
		text = strings.TrimRight(text, " ")
		fields := strings.Fields(text)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			out.WriteString(text + "\n")
			continue
		}
		offset, err := time.ParseDuration(fields[0])
		if err != nil || len(fields) < 2 {
			return "", fmt.Errorf("line %d: %q does not begin with a duration and a verb", i+1, line)
		}
		result := runEvent(Event{Now: Epoch.Add(offset), Verb: fields[1], Args: fields[2:]})
		if result != "" {
			text += resultSeparator + result
		}
		out.WriteString(text + "\n")
	}
	return out.String(), nil
}
