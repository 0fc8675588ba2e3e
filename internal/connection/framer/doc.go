// Package framer carries typed messages between two instances over one TCP
// connection.
//
// A frame is a length, a sequence number, a msgpack payload and an HMAC. The
// handshake mixes fresh nonces of both sides into the keys of the session, one
// key for each direction, so that bytes recorded on one connection are refused
// on any other, and a frame that is repeated, reordered or sent back to its
// author is refused on its own. A refusal ends the connection and is counted by
// its cause. Frames are authenticated, not encrypted.
package framer
