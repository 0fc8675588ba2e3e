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

// DocumentKind is the kind of a document.
type DocumentKind uint8

// The kinds of documents.
const (
	Settings DocumentKind = iota
	List
	documentKindCount
)

// String returns the name of the kind, "other" for an unknown one.
func (k DocumentKind) String() string {
	if k >= documentKindCount {
		return "other"
	}
	return [...]string{"settings", "list"}[k]
}

const (
	// maxDocumentBytes bounds the uncompressed text of a document, because a small
	// compressed document may expand to any size.
	maxDocumentBytes = 8 << 20
	// pullTimeout bounds the transfer of one document.
	pullTimeout = 2 * time.Second
	// rejectedRetryDelay is the time before a rejected document is pulled again.
	// Without it, each ping of a peer with that document would cause a pull.
	rejectedRetryDelay = 30 * time.Second
	// maxCatchupPeers bounds the number of peers that a starting instance asks.
	maxCatchupPeers = 32
)

// transfers holds the state of document transfers. Options.Documents returns the
// documents themselves.
type transfers struct {
	// mutex guards the fields below.
	mutex sync.Mutex
	// pulling marks the kinds that are being pulled.
	pulling [documentKindCount]bool
	// rejected is the stamp of the last rejected document of each kind.
	rejected   [documentKindCount]stamp
	rejectedAt [documentKindCount]time.Time
	// compressed caches the last compressed document of each kind: compressed here, or as a
	// peer has sent it.
	compressed [documentKindCount]document
	// compressor is nil until the first document is compressed here. It is kept because a new
	// one allocates more than a megabyte.
	compressor *flate.Writer
}

func newTransfers() *transfers { return &transfers{} }

// begin reports whether a document should be pulled now, and marks its kind as
// being pulled if so.
func (t *transfers) begin(k DocumentKind, s stamp, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.pulling[k] || t.rejected[k] == s && now.Sub(t.rejectedAt[k]) < rejectedRetryDelay {
		return false
	}
	t.pulling[k] = true
	return true
}

// end records the end of a pull that begin allowed.
func (t *transfers) end(k DocumentKind, s stamp, rejected bool, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pulling[k] = false
	if rejected {
		t.rejected[k] = s
		t.rejectedAt[k] = now
	}
}

// compress returns the compressed document. It reuses the last result of the kind if
// the stamp is the same.
func (t *transfers) compress(k DocumentKind, s stamp, text []byte) (document, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.compressed[k].Stamp == s && t.compressed[k].Compressed != nil {
		return t.compressed[k], nil
	}
	b := &bytes.Buffer{}
	if t.compressor == nil {
		w, err := flate.NewWriter(b, flate.DefaultCompression)
		if err != nil {
			return document{}, trace.Wrap(err)
		}
		t.compressor = w
	}
	t.compressor.Reset(b)
	if _, err := t.compressor.Write(text); err != nil {
		return document{}, trace.Wrap(err)
	}
	if err := t.compressor.Close(); err != nil {
		return document{}, trace.Wrap(err)
	}
	t.compressed[k] = document{Kind: k, Stamp: s, Compressed: b.Bytes()}
	return t.compressed[k], nil
}

// keep caches a document as a peer has compressed it, so that those who pull it from here do
// not make this instance compress it again.
func (t *transfers) keep(d document) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.compressed[d.Kind] = d
}

// decompress returns the text of a document. The text must not exceed
// maxDocumentBytes.
func (d *document) decompress() ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(d.Compressed))
	text, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(text) > maxDocumentBytes {
		return nil, trace.LimitExceeded("document text exceeds %d bytes", maxDocumentBytes)
	}
	return text, nil
}

// stamps returns the stamps of the documents in force.
func (r *Relayer) stamps() [documentKindCount]stamp {
	all := [documentKindCount]stamp{}
	if r.options.Documents == nil {
		return all
	}
	for k := range documentKindCount {
		all[k].Version, all[k].Digest, _ = r.options.Documents(k)
	}
	return all
}

// Announce sends the stamps of the documents in force to a few members of all
// places, or of this instance's place while Options.DocumentsCurrent returns true. It
// is called after a document from the platform or a peer came into force.
func (r *Relayer) Announce() {
	place := ""
	if r.options.DocumentsCurrent(time.Now()) {
		place = r.options.Self.Place
	}
	r.pushToPlace(place, kindAnnounce, &announcement{Stamps: r.stamps()})
}

func (r *Relayer) handleAnnounce(l *link, m framer.Message, now time.Time) error {
	a := announcement{}
	if err := m.Decode(&a); err != nil {
		return err
	}
	r.pullNewer(l, a.Stamps, now)
	return nil
}

// pullNewer pulls the documents whose stamps are newer at the peer. While this
// instance's documents are current, it ignores peers of other places.
func (r *Relayer) pullNewer(l *link, peerStamps [documentKindCount]stamp, now time.Time) {
	if r.options.OfferDocument == nil {
		return
	}
	if r.options.DocumentsCurrent(now) && r.placeOf(l.peer) != r.options.Self.Place {
		return
	}
	inForce := r.stamps()
	for k := range documentKindCount {
		if peerStamps[k].newer(inForce[k]) && r.transfers.begin(k, peerStamps[k], now) {
			r.spawn(func() { r.pull(r.context, l, k, peerStamps[k]) })
		}
	}
}

// pull fetches one document, offers it to the instance and announces it if it came
// into force.
func (r *Relayer) pull(ctx context.Context, l *link, k DocumentKind, s stamp) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	d, text, err := r.fetch(ctx, l, k)
	adopted := err == nil && r.offer(d, text)
	r.transfers.end(k, s, err == nil && !adopted, time.Now())
	if err != nil {
		level.Warn(r.options.Logger).Log("msg", "document not pulled", "kind", k, "peer", l.peer, "err", err)
		return
	}
	if adopted {
		r.Announce()
	}
}

// fetch fetches a document of the kind and returns it with its text.
func (r *Relayer) fetch(ctx context.Context, l *link, k DocumentKind) (document, []byte, error) {
	d := document{}
	if err := l.call(ctx, kindPull, &pullRequest{Kind: k}, &d); err != nil {
		return d, nil, trace.Wrap(err)
	}
	d.Kind = k
	text, err := d.decompress()
	return d, text, err
}

// offer offers a document to the instance and reports whether it came into force. It is kept
// as it is if it is the one in force now, which has the stamp of its text.
func (r *Relayer) offer(d document, text []byte) bool {
	adopted := r.options.OfferDocument(d.Kind, text, time.Now())
	if adopted && r.options.Documents != nil && r.stamps()[d.Kind] == d.Stamp {
		r.transfers.keep(d)
	}
	return adopted
}

func (r *Relayer) handlePull(l *link, m framer.Message, _ time.Time) error {
	p := pullRequest{}
	if err := m.Decode(&p); err != nil {
		return err
	}
	if p.Kind >= documentKindCount {
		r.metrics.countUnknown(unknownDocument)
		return nil
	}
	if r.options.Documents == nil {
		return nil
	}
	r.spawn(func() {
		version, digest, text := r.options.Documents(p.Kind)
		d, err := r.transfers.compress(p.Kind, stamp{Version: version, Digest: digest}, text)
		if err == nil {
			// The caller detects a broken connection itself.
			_ = l.send(kindDocument, m.ID, &d)
		}
	})
	return nil
}

// Catchup asks the seeds and the instances of the list for the stamps of their
// documents and for their rumors. It fetches and offers newer documents, and adds
// unknown rumors. The list may be nil. Catchup asks at most maxCatchupPeers peers,
// chosen at random. A starting instance calls it after Run has started and before it
// serves requests. Catchup returns the number of peers from which the response and the
// newer documents arrived before the context ended.
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
	peers = peers[:min(maxCatchupPeers, len(peers))]

	results := make(chan bool, len(peers))
	for _, a := range peers {
		go func() { results <- r.catchupFrom(ctx, a) }()
	}
	reached := 0
	for range peers {
		if <-results {
			reached++
		}
	}
	return reached
}

// catchupFrom asks one peer and reports whether it responded and its newer documents
// were fetched.
func (r *Relayer) catchupFrom(ctx context.Context, peer netip.AddrPort) bool {
	l, err := r.pool.get(ctx, peer)
	if err != nil {
		return false
	}
	response := catchupResponse{}
	if err := l.call(ctx, kindCatchup, &announcement{Stamps: r.stamps()}, &response); err != nil {
		return false
	}
	r.receiveRumors(response.Rumors, time.Now())
	if r.options.DocumentsCurrent(time.Now()) {
		// The documents are current, so nothing is fetched. The peer's list may have a
		// higher version with the same content, and lists are large.
		return true
	}
	for k := range documentKindCount {
		if !response.Stamps[k].newer(r.stamps()[k]) || r.options.OfferDocument == nil {
			continue
		}
		d, text, err := r.fetch(ctx, l, k)
		if err != nil {
			return false
		}
		r.offer(d, text)
	}
	return true
}

func (r *Relayer) handleCatchup(l *link, m framer.Message, now time.Time) error {
	r.spawn(func() {
		// The caller detects a broken connection itself.
		_ = l.send(kindCatchupResponse, m.ID, &catchupResponse{Stamps: r.stamps(), Rumors: r.rumors.unexpired(now)})
	})
	return nil
}
