// Package router finds the route of a request in the routing table and selects one
// of the services of the route.
//
// Operators publish the table in versions. A Table is immutable after Prepare. A
// request loads a pointer to the current table when it arrives and uses that
// version until it ends.
package router
