// Package server implements the HTTP interfaces of an instance for callers and for
// operators.
//
// Callers ask which instances to use for a service and send their requests. Operators
// read metrics, costs and explanations at a separate address.
package server
