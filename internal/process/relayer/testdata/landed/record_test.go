package relayer

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
)

// Writes the payload of each recorded message as a frame carries it. Run in a checkout of the build
// to record, next to recorded_test.go; see README.md.
func TestRecord(t *testing.T) {
	for _, s := range recordedMessages() {
		m, err := framer.Encode(s.kind, 42, s.body)
		if err != nil {
			t.Fatal(err)
		}
		payload, err := msgpack.Marshal(&m)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(os.Getenv("RECORD"), s.name+".msgpack"), payload, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
