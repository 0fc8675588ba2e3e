// Package ranker compares strategies to choose targets for one service, in virtual
// time.
//
// It simulates a service with a few targets that have slow phases, and with bursts of
// arriving requests. The decision logic of the dispatcher runs against this service as
// if it were driven by the network. The load of the machine doesn't affect the figures,
// so they are repeatable and show whether a mechanism is worth keeping. The figures
// compare strategies only and predict nothing else.
package ranker
