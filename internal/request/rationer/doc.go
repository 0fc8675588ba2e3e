// Package rationer divides the room of a service that is short of it between the
// requests that wait at all instances.
//
// It answers two loads. In the first, requests arrive faster than the targets serve them
// for some seconds: a backlog of requests that already miss their objective takes each
// free slot, and the fresh ones miss theirs too. In the second, an urgent kind shares
// the service with several times as many less urgent requests. Each instance has one or
// two requests waiting, so an order among these decides little: whichever instance
// probes a target first after a slot comes free takes it.
//
// The state that all instances share is the load that the targets report. Requests that
// can still meet their objective may take any free slot. Late requests leave one slot of
// each target to them, as in trunk reservation: they start only at a target that has
// another slot free. So do all requests of a kind while a more urgent kind is short of
// room, which it is at an instance for shortageMemory after one of its requests has
// waited there for shortageWait of its slack. A slot that comes free at a busy target is
// then found by a request that can use it in time, at whichever instance it waits. No
// messages pass for this between instances, and an instance that sees no other keeps to it.
//
// A client that returns after a rejection counts its objective from its first attempt.
// Its request is known by a deadline that is shorter than the one that most clients of the
// kind send. If it is much shorter than the longest, the request is late while its kind is
// short of room. Otherwise each rejected request would come
// back as a fresh one.
//
// Nothing is starved. A kind may take any free slot while the share of its requests that
// start is less than minServedRatio of that of all requests here, and one of agedInterval
// starts may go to a request that has waited for long.
package rationer
