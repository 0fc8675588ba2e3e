// Package framer exchanges typed messages between two instances over one TCP
// connection. Messages are authenticated, not encrypted.
//
// A message is sent as a frame: a length, a sequence number, a msgpack payload and
// an HMAC. The handshake derives the keys of a session from the shared secret and
// fresh nonces of both sides, with one key for each direction. An instance
// therefore refuses frames that were recorded on another connection, and frames
// that are repeated, reordered or sent back to their sender. A refusal closes the
// connection and is counted by its cause.
package framer
