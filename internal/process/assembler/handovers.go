package assembler

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/vmihailenco/msgpack/v5"

	"oriolecourse.example/oriolecourse/internal/connection/framer"
	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/request/handler"
)

const (
	// handoverPath is the path of the operation that sends a handover to a peer.
	handoverPath = "/v1/legacy"
	// maxHandoverResponseBytes bounds the responses in a handover, so that it fits in
	// one frame, which holds at most relayer.MaxFrameBytes.
	maxHandoverResponseBytes = 2 << 20
	// successorCount is the number of instances that receive a handover.
	successorCount = 2
	// handoverTimeout bounds the sending of a handover to all successors, which delays
	// the stop.
	handoverTimeout = 2 * time.Second
)

// endedIncarnation identifies an incarnation that has ended and left a handover.
type endedIncarnation struct {
	peer        netip.AddrPort
	incarnation uint64
}

// handOverOutcomes sends the outcomes of this incarnation's operations to a few live
// instances of its place, and spreads rumors that name these successors.
func (i *Instance) handOverOutcomes() {
	handover, ok := i.operationTable.Handover(maxHandoverResponseBytes)
	if !ok {
		return
	}
	body, err := msgpack.Marshal(&handover)
	if err != nil {
		_ = level.Warn(i.options.Logger).Log("msg", "outcomes not passed on", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	accepted := 0
	for _, m := range i.usableMembers() {
		if accepted == successorCount {
			break
		}
		if m.Incarnation == i.incarnation || m.State != detector.Alive || m.Instance.Place != i.options.Place {
			continue
		}
		outcome, err := i.relayer.Forward(ctx, m.Instance.Peer, relayer.Operation{Incarnation: m.Incarnation, Path: handoverPath, Body: body})
		if err != nil || outcome.Status != http.StatusOK {
			continue
		}
		accepted++
		// Fingerprint holds this incarnation and Start that of the successor, because
		// rumors have no other fields for them.
		i.relayer.Spread(relayer.Rumor{
			Topic: relayer.Successor, Instance: i.options.Peer, Fingerprint: i.incarnation,
			Target: m.Instance.Peer, Start: formatIncarnation(m.Incarnation),
		}, time.Now())
	}
	_ = level.Info(i.options.Logger).Log("msg", "outcomes passed on", "records", len(handover.Records), "peers", accepted)
}

// acceptHandover stores the handover of a stopping incarnation.
func (i *Instance) acceptHandover(o relayer.Operation, now time.Time) relayer.Outcome {
	var handover executor.Handover
	if err := framer.Unmarshal(o.Body, &handover); err != nil {
		return relayer.Outcome{Status: http.StatusBadRequest}
	}
	until := now.Add(relayer.Successor.TTL())
	if !i.handovers.Add(handover, until, now) {
		return relayer.Outcome{Status: http.StatusServiceUnavailable}
	}
	return relayer.Outcome{Status: http.StatusOK}
}

// formatIncarnation returns an incarnation as text for rumors and operators.
func formatIncarnation(n uint64) string { return strconv.FormatUint(n, 16) }

// parseIncarnation parses the output of formatIncarnation.
func parseIncarnation(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil
}

// successor is an instance that holds the handover of an incarnation that has ended.
type successor struct {
	token   executor.Token
	expires time.Time
}

// recordSuccessor records the successor that a rumor names, and removes expired ones.
func (i *Instance) recordSuccessor(r relayer.Rumor, now time.Time) {
	incarnation, ok := parseIncarnation(r.Start)
	if !ok {
		return
	}
	i.successors.Range(func(key, known any) bool {
		if !now.Before(known.(successor).expires) {
			i.successors.CompareAndDelete(key, known)
		}
		return true
	})
	i.successors.Store(endedIncarnation{peer: r.Instance, incarnation: r.Fingerprint}, successor{
		token:   executor.Token{Peer: r.Target, Incarnation: incarnation},
		expires: now.Add(r.TTL),
	})
}

// forwardToSuccessor forwards a request to the successor of an executor that cannot
// be reached. It returns false if no successor is known or it does not respond.
func (i *Instance) forwardToSuccessor(ctx context.Context, to executor.Token, r *handler.Request) (*handler.Outcome, bool) {
	found, ok := i.successors.Load(endedIncarnation{peer: to.Peer, incarnation: to.Incarnation})
	if !ok {
		return nil, false
	}
	s := found.(successor)
	// The operation handler has already searched the handovers that this instance
	// holds itself.
	if !time.Now().Before(s.expires) || s.token.Peer == i.options.Peer {
		return nil, false
	}
	outcome, err := i.relayer.Forward(ctx, s.token.Peer, newOperation(s.token.Incarnation, r))
	if err != nil {
		return nil, false
	}
	r.OutcomeFromPeer = true
	return handler.ParseResponse(handler.Response{Status: outcome.Status, Header: outcome.Header, Body: outcome.Body}), true
}
