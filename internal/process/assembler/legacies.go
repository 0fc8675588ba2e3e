package assembler

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/vmihailenco/msgpack/v5"

	"oriolecourse.example/oriolecourse/internal/process/detector"
	"oriolecourse.example/oriolecourse/internal/process/executor"
	"oriolecourse.example/oriolecourse/internal/process/relayer"
	"oriolecourse.example/oriolecourse/internal/request/handler"
)

const (
	// pathLegacy hands over what an executor that ends still owes.
	pathLegacy = "/v1/legacy"
	// legacyBytes bounds the answers that are handed over, so that they fit a frame.
	legacyBytes = 2 << 20
	// heirs is the number of instances that a legacy is handed to.
	heirs = 2
	// legacyTimeout bounds the handing over.
	legacyTimeout = 2 * time.Second
)

// ended names an incarnation that has left a legacy.
type ended struct {
	peer        netip.AddrPort
	incarnation uint64
}

// bequeath hands what the executor owes to a few others and tells all who they are.
func (i *Instance) bequeath() {
	legacy, ok := i.table.Handover(legacyBytes)
	if !ok {
		return
	}
	body, err := msgpack.Marshal(&legacy)
	if err != nil {
		_ = level.Warn(i.options.Logger).Log("msg", "outcomes not passed on", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), legacyTimeout)
	defer cancel()
	given := 0
	for _, m := range i.everyone() {
		if given == heirs {
			break
		}
		if m.Incarnation == i.incarnation || m.State != detector.Alive || m.Instance.Place != i.options.Place {
			continue
		}
		a, err := i.relayer.Forward(ctx, m.Instance.Peer, relayer.Operation{Incarnation: m.Incarnation, Path: pathLegacy, Body: body})
		if err != nil || a.Status != http.StatusOK {
			continue
		}
		given++
		i.relayer.Spread(relayer.Rumor{
			Topic: relayer.Successor, Instance: i.options.Peer, Fingerprint: i.incarnation,
			Target: m.Instance.Peer, Start: incarnationText(m.Incarnation),
		}, time.Now())
	}
	_ = level.Info(i.options.Logger).Log("msg", "outcomes passed on", "records", len(legacy.Records), "peers", given)
}

// inherit keeps what an executor that ends has handed over.
func (i *Instance) inherit(o relayer.Operation, now time.Time) relayer.Outcome {
	var legacy executor.Handover
	if err := msgpack.Unmarshal(o.Body, &legacy); err != nil {
		return relayer.Outcome{Status: http.StatusBadRequest}
	}
	until := now.Add(relayer.Successor.TTL())
	if !i.legacies.Add(legacy, until, now) {
		return relayer.Outcome{Status: http.StatusServiceUnavailable}
	}
	return relayer.Outcome{Status: http.StatusOK}
}

// incarnationText writes an incarnation as logs and rumors show it.
func incarnationText(n uint64) string { return strconv.FormatUint(n, 16) }

// parseIncarnation reads what incarnationText wrote.
func parseIncarnation(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil
}

// heir is an instance that answers for an incarnation that has ended.
type heir struct {
	token executor.Token
	until time.Time
}

// hearHeir remembers who answers for an incarnation that has ended.
func (i *Instance) hearHeir(r relayer.Rumor, now time.Time) {
	incarnation, ok := parseIncarnation(r.Start)
	if !ok {
		return
	}
	i.heirs.Range(func(key, known any) bool {
		if !now.Before(known.(heir).until) {
			i.heirs.CompareAndDelete(key, known)
		}
		return true
	})
	i.heirs.Store(ended{peer: r.Instance, incarnation: r.Fingerprint}, heir{
		token: executor.Token{Peer: r.Target, Incarnation: incarnation},
		until: now.Add(r.TTL),
	})
}

// askHeir asks the heir of an executor that cannot be reached, if it has one.
func (i *Instance) askHeir(ctx context.Context, to executor.Token, r *handler.Request) (*handler.Outcome, bool) {
	found, ok := i.heirs.Load(ended{peer: to.Peer, incarnation: to.Incarnation})
	if !ok {
		return nil, false
	}
	h := found.(heir)
	// What this instance itself has inherited was looked at before.
	if !time.Now().Before(h.until) || h.token.Peer == i.options.Peer {
		return nil, false
	}
	a, err := i.relayer.Forward(ctx, h.token.Peer, operation(h.token.Incarnation, r))
	if err != nil {
		return nil, false
	}
	r.OutcomeFromPeer = true
	return handler.ParseResponse(handler.Response{Status: a.Status, Header: a.Header, Body: a.Body}), true
}
