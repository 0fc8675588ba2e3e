package relayer

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/version/lister"
)

// DocumentKind names a document that instances hand to each other.
type DocumentKind uint8

// The documents.
const (
	Settings DocumentKind = iota
	List
	kindCount
)

// String returns the name of the document.
func (k DocumentKind) String() string {
	return [...]string{"settings", "list"}[k]
}

const (
	// maxDocument bounds the text of a document in bytes.
	maxDocument = 8 << 20
	// pullTimeout bounds the transfer of one document.
	pullTimeout = 2 * time.Second
	// refusedFor is how long a document is not pulled again that was not taken.
	refusedFor = 30 * time.Second
	// catchupPeers bounds the peers that a starting instance asks.
	catchupPeers = 32
)

// documents remembers transfers. The documents themselves are held elsewhere.
type documents struct {
	// mutex guards the rest.
	mutex sync.Mutex
	// pulling marks the kinds with a transfer under way.
	pulling [kindCount]bool
	// refused holds the last document of a kind that was not taken, and when.
	refused [kindCount]stamp
	when    [kindCount]time.Time
	// packed is the last compressed text of a kind.
	packed [kindCount]document
}

func newDocuments() *documents { return &documents{} }

// begin reports whether a document should be pulled now.
func (d *documents) begin(k DocumentKind, s stamp, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.pulling[k] || d.refused[k] == s && now.Sub(d.when[k]) < refusedFor {
		return false
	}
	d.pulling[k] = true
	return true
}

// end closes a transfer.
func (d *documents) end(k DocumentKind, s stamp, refused bool, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pulling[k] = false
	if refused {
		d.refused[k] = s
		d.when[k] = now
	}
}

// pack returns a document compressed, once for each stamp.
func (d *documents) pack(k DocumentKind, s stamp, text []byte) (document, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.packed[k].Stamp == s && d.packed[k].Packed != nil {
		return d.packed[k], nil
	}
	b := &bytes.Buffer{}
	w, err := flate.NewWriter(b, flate.DefaultCompression)
	if err != nil {
		return document{}, trace.Wrap(err)
	}
	if _, err := w.Write(text); err != nil {
		return document{}, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return document{}, trace.Wrap(err)
	}
	d.packed[k] = document{Kind: k, Stamp: s, Packed: b.Bytes()}
	return d.packed[k], nil
}

// unpack returns the text of a document, of bounded size.
func (d *document) unpack() ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(d.Packed))
	text, err := io.ReadAll(io.LimitReader(reader, maxDocument+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(text) > maxDocument {
		return nil, trace.LimitExceeded("a document is longer than %d bytes", maxDocument)
	}
	return text, nil
}

// stamps returns the stamps of the documents in force.
func (r *Relayer) stamps() [kindCount]stamp {
	all := [kindCount]stamp{}
	if r.options.Documents == nil {
		return all
	}
	for k := range kindCount {
		all[k].Version, all[k].Digest, _ = r.options.Documents(k)
	}
	return all
}

// Announce tells a few members which documents are held here. It is called after
// a document was taken from the platform or from a peer.
func (r *Relayer) Announce() {
	place := ""
	if r.options.DocumentsCurrent(time.Now()) {
		place = r.options.Self.Place
	}
	r.push(place, kindAnnounce, &announcement{Stamps: r.stamps()})
}

func (r *Relayer) handleAnnounce(l *link, m framer.Message, now time.Time) error {
	a := announcement{}
	if err := m.Decode(&a); err != nil {
		return err
	}
	r.compare(l, a.Stamps, now)
	return nil
}

// compare pulls the documents that a peer holds newer.
func (r *Relayer) compare(l *link, theirs [kindCount]stamp, now time.Time) {
	if r.options.OfferDocument == nil {
		return
	}
	if r.options.DocumentsCurrent(now) && r.place(l.peer) != r.options.Self.Place {
		return
	}
	held := r.stamps()
	for k := range kindCount {
		if theirs[k].newer(held[k]) && r.papers.begin(k, theirs[k], now) {
			r.spawn(func() { r.pull(r.context, l, k, theirs[k]) })
		}
	}
}

// pull fetches one document and offers it; one that is taken is announced.
func (r *Relayer) pull(ctx context.Context, l *link, k DocumentKind, s stamp) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	text, err := r.fetch(ctx, l, k)
	taken := err == nil && r.options.OfferDocument(k, text, time.Now())
	r.papers.end(k, s, err == nil && !taken, time.Now())
	if err != nil {
		level.Warn(r.options.Logger).Log("msg", "document not pulled", "kind", k, "peer", l.peer, "err", err)
		return
	}
	if taken {
		r.Announce()
	}
}

func (r *Relayer) fetch(ctx context.Context, l *link, k DocumentKind) ([]byte, error) {
	d := document{}
	if err := l.call(ctx, kindPull, &pull{Kind: k}, &d); err != nil {
		return nil, trace.Wrap(err)
	}
	return d.unpack()
}

func (r *Relayer) handlePull(l *link, m framer.Message, _ time.Time) error {
	p := pull{}
	if err := m.Decode(&p); err != nil || p.Kind >= kindCount {
		return &framer.Refusal{Cause: framer.Undecodable}
	}
	if r.options.Documents == nil {
		return nil
	}
	r.spawn(func() {
		version, digest, text := r.options.Documents(p.Kind)
		d, err := r.papers.pack(p.Kind, stamp{Version: version, Digest: digest}, text)
		if err == nil {
			// The one who asked hears of a broken connection from the connection.
			_ = l.send(kindDocument, m.ID, &d)
		}
	})
	return nil
}

// Catchup asks the seeds, and the instances of a list if there is one, for their
// documents and rumors, and takes what is newer. A starting instance calls it
// after Run has started and before it serves. It returns the number of peers
// that answered before the context ended.
func (r *Relayer) Catchup(ctx context.Context, l *lister.List) int {
	peers := slices.Clone(r.options.Seeds)
	if l != nil {
		for _, i := range l.Instances {
			peers = append(peers, i.Peer)
		}
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	peers = slices.DeleteFunc(slices.Compact(peers), func(a netip.AddrPort) bool { return a == r.options.Self.Peer })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(catchupPeers, len(peers))]

	answers := make(chan bool, len(peers))
	for _, a := range peers {
		go func() { answers <- r.catchup(ctx, a) }()
	}
	reached := 0
	for range peers {
		if <-answers {
			reached++
		}
	}
	return reached
}

// catchup asks one peer.
func (r *Relayer) catchup(ctx context.Context, peer netip.AddrPort) bool {
	l, err := r.pool.get(ctx, peer)
	if err != nil {
		return false
	}
	h := holding{}
	if err := l.call(ctx, kindHold, &announcement{Stamps: r.stamps()}, &h); err != nil {
		return false
	}
	r.hear(h.Rumors, time.Now())
	if r.options.DocumentsCurrent(time.Now()) {
		// Lists of the same content have other revisions, and are large.
		return true
	}
	for k := range kindCount {
		if !h.Stamps[k].newer(r.stamps()[k]) || r.options.OfferDocument == nil {
			continue
		}
		text, err := r.fetch(ctx, l, k)
		if err != nil {
			return false
		}
		r.options.OfferDocument(k, text, time.Now())
	}
	return true
}

func (r *Relayer) handleHold(l *link, m framer.Message, now time.Time) error {
	r.spawn(func() {
		// The one who asked hears of a broken connection from the connection.
		_ = l.send(kindHeld, m.ID, &holding{Stamps: r.stamps(), Rumors: r.rumors.live(now)})
	})
	return nil
}
