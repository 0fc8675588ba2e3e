package executor

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestHandover closes a table, stores its handover at a successor and looks up each
// operation there. It guards against a resend that gets another outcome than the first
// request, or that gets "unrun" although the operation was still running.
func TestHandover(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := Limits{EpochDuration: time.Minute, TokenGrace: time.Second, RecordRetention: time.Minute, EpochCapacity: 10, MaxEpochs: 4, MaxResponseBytes: 10000}
	table := New(netip.MustParseAddrPort("10.0.0.1:1"), 7, limits, now)
	token, ok := table.Token(now)
	require.True(t, ok)
	id := func(part string) OperationID { return OperationID{Token: token, Part: part} }
	finish := func(part string, o Outcome) {
		d := table.Begin(id(part), 1, now.Add(time.Second), now)
		require.Equal(t, Run, d.Action)
		table.Finish(d.Record, o, now)
	}
	finish("done", Outcome{Result: Done, Status: 201, Body: []byte("crate 7")})
	finish("unrun", Outcome{Result: NotExecuted, Reason: "busy"})
	finish("large", Outcome{Result: Done, Body: make([]byte, 900)})
	require.Equal(t, Run, table.Begin(id("running"), 1, now.Add(time.Second), now).Action)

	_, ok = table.Handover(500)
	require.False(t, ok, "a table that is not closed may still run operations, so it has no handover")
	table.Close(now)
	exported, ok := table.Handover(500)
	require.True(t, ok)
	text, err := msgpack.Marshal(&exported)
	require.NoError(t, err)
	var handover Handover
	require.NoError(t, msgpack.Unmarshal(text, &handover))

	successor := NewHandovers()
	require.Equal(t, Foreign, successor.Find(id("done"), 1, now).Action)
	require.True(t, successor.Add(handover, now.Add(time.Minute), now))
	tests := []struct {
		part        string
		fingerprint uint64
		action      Action
		outcome     Outcome
	}{
		{"done", 1, Wait, Outcome{Result: Done, Status: 201, Body: []byte("crate 7")}},
		{"done", 2, Mismatch, Outcome{}},
		{"unrun", 1, Wait, Outcome{Result: NotExecuted, Reason: "busy"}},
		{"large", 1, Wait, Outcome{Result: Done, Dropped: true}},
		{"running", 1, Wait, Outcome{Result: Unknown}},
		{"never seen", 1, NeverExecuted, Outcome{}},
	}
	for _, c := range tests {
		d := successor.Find(id(c.part), c.fingerprint, now)
		require.Equal(t, c.action, d.Action, c.part)
		if c.action == Wait {
			require.Equal(t, c.outcome, *d.Record.Outcome(), c.part)
		}
	}
	old := id("done")
	old.Token.Epoch = 9
	require.Equal(t, Forgotten, successor.Find(old, 1, now).Action)
	require.Equal(t, Foreign, successor.Find(id("done"), 1, now.Add(time.Minute)).Action, "the handover has expired")
}
