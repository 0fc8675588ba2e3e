// Package exchanger sends one request over one connection to one target and
// reads the complete response.
//
// It keeps its own connections, because it needs to know more about them than
// http.Client reports: whether a request was sent on a connection that the target
// may have closed, whether bytes arrived that belong to no request, and which
// connection received a response last. It never sends a request twice.
package exchanger
