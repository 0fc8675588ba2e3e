// Package exchanger sends one request over one connection to one target and
// reads the whole answer.
//
// It keeps its connections itself, since it has to know more of them than a
// general client tells: whether a request left on a connection that the target
// may have closed, whether bytes arrived that answer no request, and which
// connection was seen alive last. Nothing is ever sent twice.
package exchanger
