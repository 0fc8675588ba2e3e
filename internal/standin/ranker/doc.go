// Package ranker compares strategies to choose targets for one service, in virtual
// time.
//
// It simulates a service with a few targets that have slow phases, and with bursts of
// arriving requests. The decision logic of the dispatcher runs against this service as
// if it were driven by the network. The load of the machine doesn't affect the figures,
// so they are repeatable and show whether a mechanism is worth keeping. They do not
// predict the latencies of a real deployment.
//
// A home is an instance that callers of the service are told to use. An owner of a
// target is a home that counts the target's requests.
package ranker
