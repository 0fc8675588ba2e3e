// Package acceptor serves HTTP/1.1 connections of clients.
//
// It supports pipelining: it reads and starts the next request of a connection
// while earlier requests still run, and writes the responses in the order of the
// requests. When a client closes its connection, its pending requests are
// canceled at once.
//
// A request is read completely before it is handled. A target therefore receives
// a request with new framing, which cannot contain bytes of a smuggled request.
package acceptor
