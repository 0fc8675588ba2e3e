package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// documentsSent returns the number of documents that a node has handed out.
func documentsSent(n *node) uint64 {
	for _, t := range n.Traffic() {
		if t.Kind == names[kindDocument] {
			return t.MessagesSent
		}
	}
	return 0
}

// A reader that gets a new document hands it to a few members of its place, who hand
// it on, however many there are.
func TestReaderHandsADocumentToFew(t *testing.T) {
	const size = 30
	nodes := startFleet(t, size, testPeriod)
	reader := nodes[0]
	// Long enough for all hops, however busy the machine is.
	reader.delay = patience / 4
	reader.ConfirmDocuments()
	for version := uint64(2); version < 4; version++ {
		before := documentsSent(reader)
		reader.settings.Store(textOf(version))
		reader.Announce()
		reader.ConfirmDocuments()
		for _, n := range nodes {
			eventually(t, "the document", func() bool { return n.version() == version })
		}
		require.LessOrEqual(t, documentsSent(reader)-before, uint64(size/2))
	}
}
