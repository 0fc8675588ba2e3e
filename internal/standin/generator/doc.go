// Package generator creates and checks the response bodies of the target
// stand-ins. A body depends on the id of its request, so that a caller detects a
// truncated body and the body of another request.
package generator
