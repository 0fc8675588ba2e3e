package listener

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// headerTimeout bounds the reading of one request's header.
const headerTimeout = 5 * time.Second

// Listener holds the socket of one stand-in before it serves.
type Listener struct {
	// Name is printed with the address.
	Name string
	// Address is the bound address with its real port.
	Address netip.AddrPort
	// ReadyFile is the path of a file that receives the address; empty for none.
	ReadyFile string

	socket net.Listener
}

// Open binds the address; port 0 takes a free one.
func Open(name string, address netip.AddrPort, ready string) (*Listener, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err, "%s cannot listen on %s", name, address)
	}
	bound := netip.MustParseAddrPort(socket.Addr().String())
	return &Listener{Name: name, Address: bound, ReadyFile: ready, socket: socket}, nil
}

// Serve announces the address and answers requests until the context ends.
func (l *Listener) Serve(ctx context.Context, handler http.Handler, log io.Writer) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := l.announce(log); err != nil {
		return err
	}
	if err := server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// announce prints the address and writes the ready file in one rename, so that
// a reader never sees half of it.
func (l *Listener) announce(log io.Writer) error {
	fmt.Fprintf(log, "%s listening on %s\n", l.Name, l.Address)
	if l.ReadyFile == "" {
		return nil
	}
	draft := l.ReadyFile + ".draft"
	if err := os.WriteFile(draft, []byte(l.Address.String()+"\n"), 0o600); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.Rename(draft, l.ReadyFile))
}

// NewRouter returns an echo router that prints nothing of its own.
func NewRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}
