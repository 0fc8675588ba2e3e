// Package reserver counts the memory that the bodies of requests and responses hold,
// against a limit.
//
// Nothing ever waits for memory in it: a wait while memory is held could block for
// good. A caller that is denied memory refuses the request, or holds less.
package reserver
