// Package streamer passes the rest of a large response body from a target to a client.
//
// It reads ahead of the client while the account of memory has room, because a target
// that is left unread keeps the whole response in its own memory and cuts it off after
// some seconds. Without room it holds one piece, and the target waits for the client.
package streamer
