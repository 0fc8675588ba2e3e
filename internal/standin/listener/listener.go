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

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 5 * time.Second

// Listener holds the bound socket of a stand-in, which Serve uses.
type Listener struct {
	// Name is the name of the stand-in, printed with the address.
	Name string
	// Address is the bound address with its actual port.
	Address netip.AddrPort
	// ReadyFile is the path of a file that receives the address. No file is written
	// if it is empty.
	ReadyFile string

	socket net.Listener
}

// Open binds the address. Port 0 selects a free port.
func Open(name string, address netip.AddrPort, readyFile string) (*Listener, error) {
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err, "%s cannot listen on %s", name, address)
	}
	bound := netip.MustParseAddrPort(socket.Addr().String())
	return &Listener{Name: name, Address: bound, ReadyFile: readyFile, socket: socket}, nil
}

// Serve announces the address and serves requests until the context ends.
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

// announce prints the address and writes it to ReadyFile. It renames a complete file
// into place, so that a reader never sees part of the address.
func (l *Listener) announce(log io.Writer) error {
	fmt.Fprintf(log, "%s listening on %s\n", l.Name, l.Address)
	if l.ReadyFile == "" {
		return nil
	}
	temporary := l.ReadyFile + ".draft"
	if err := os.WriteFile(temporary, []byte(l.Address.String()+"\n"), 0o600); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.Rename(temporary, l.ReadyFile))
}

// NewRouter returns an echo router that prints no banner and no port.
func NewRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}
