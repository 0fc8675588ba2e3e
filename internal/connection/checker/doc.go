// Package checker checks the heads of the responses that an http.Transport reads.
//
// The standard library accepts lines that it may understand otherwise than they were meant,
// and its result no longer shows them. So the connection checks the bytes while they are read.
package checker
