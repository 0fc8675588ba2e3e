// Package server speaks HTTP to callers and to operators.
//
// Callers ask which addresses to use and send their requests; operators read
// counters, costs and explanations from a separate address.
package server
