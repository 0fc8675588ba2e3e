// Package surveyor decides whether an instance is cut off from all targets of a service.
//
// The first exchange of each new connection to a target is a contact. If contacts with a few
// targets go unanswered and no target answers meanwhile, either these targets are dead or
// the instance is cut off, and a check tells which: it contacts some targets, of all zones.
// If none of them answers, the instance is cut off. While it is, a check is due regularly,
// and the first answer ends the cut. An answer on any connection counts: overloaded targets
// refuse new connections and serve the open ones, and that is no cut.
package surveyor
