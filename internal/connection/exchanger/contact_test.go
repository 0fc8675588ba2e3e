package exchanger

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an instance that takes the responses on old connections, which live on
// while new ones are refused, for a path to the targets.
func TestOnlyNewConnectionsAreContacts(t *testing.T) {
	target := startTarget(t, func(c net.Conn, id string, n int) bool {
		_, err := io.WriteString(c, completeResponse(id, "body"))
		return n < 1 && err == nil
	})
	x := New()
	var contacts []bool
	x.OnContact = func(_ netip.AddrPort, err error) { contacts = append(contacts, err == nil) }
	sent := 0
	send := func(ctx context.Context, to netip.AddrPort) {
		// A request that is sent again under its identifier gets a new connection.
		sent++
		_, _, _ = x.Send(ctx, to, newRequest(strconv.Itoa(sent), false))
	}
	send(t.Context(), target.address)
	send(t.Context(), target.address)
	require.Equal(t, []bool{true}, contacts)

	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	closed.Close()
	refused := netip.MustParseAddrPort(closed.Addr().String())
	send(t.Context(), refused)
	require.Equal(t, []bool{true, false}, contacts)

	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	send(canceled, refused)
	require.Equal(t, []bool{true, false}, contacts, "what the caller gives up says nothing of the target")
}
