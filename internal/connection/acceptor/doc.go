// Package acceptor serves HTTP/1.1 connections of clients.
//
// It reads ahead: the next request of a connection is read and started while
// earlier ones still run, and answers go back in the order of the requests. A
// client that leaves cancels what it asked for at once. Requests are read whole
// before they are handled, so what a target receives is framed anew and never
// holds bytes that a client smuggled in.
package acceptor
