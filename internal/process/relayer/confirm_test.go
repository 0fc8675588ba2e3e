package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/detector"
)

// documentsSent returns the number of documents that a node has sent.
func documentsSent(n *node) uint64 {
	for _, t := range n.Traffic() {
		if t.Kind == kindNames[kindDocument] {
			return t.MessagesSent
		}
	}
	return 0
}

// A reader is the instance that reads the platform for its place. If it confirmed a
// new document at once, all members would pull it from the reader, and its network
// link would be saturated in a large place. Whatever the size of the place, the reader
// must send the document to a few members only, and these pass it on.
func TestReaderSendsADocumentToFewMembers(t *testing.T) {
	const size = 30
	// At the usual period of pings, 30 instances under the race detector leave room for
	// other work on the machine.
	nodes := startFleet(t, size, detector.DefaultPeriod)
	reader := nodes[0]
	// This is long enough for all hops, even on a busy machine.
	reader.confirmDelay = waitTimeout / 4
	reader.ConfirmDocuments()
	for version := uint64(2); version < 4; version++ {
		before := documentsSent(reader)
		reader.settings.Store(settingsText(version))
		reader.Announce()
		reader.ConfirmDocuments()
		for _, n := range nodes {
			eventually(t, "the new document in force at all instances", func() bool { return n.version() == version })
		}
		require.LessOrEqual(t, documentsSent(reader)-before, uint64(size/2))
	}
}
