package watcher

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ReaderCount is the number of elected readers of a document. There are several, so that
// the loss of one does not delay new documents, and few, so that the platform holds few
// calls.
const ReaderCount = 3

// Elected reports whether self is one of the readers of a document among members,
// which need not contain self. Instances with the same members elect the same
// readers. While their views differ there may be a few readers more or less.
func Elected(self netip.AddrPort, members []netip.AddrPort, kind Kind) bool {
	own := weight(self, kind)
	above := 0
	for _, m := range members {
		if m != self && weight(m, kind) > own {
			if above++; above == ReaderCount {
				return false
			}
		}
	}
	return true
}

// weight returns the rendezvous hash of a member for a document.
func weight(m netip.AddrPort, kind Kind) uint64 {
	var b [20]byte
	address := m.Addr().As16()
	copy(b[:], address[:])
	binary.BigEndian.PutUint16(b[16:], m.Port())
	b[18] = byte(kind)
	return xxhash.Sum64(b[:])
}
