// Package lister decodes the platform's list of instances and targets. The platform
// is the environment that starts their processes (package platform).
//
// A run is one execution of a target's process, from its start to its end.
//
// The list may be out of date, so the other packages treat it as a hint: direct
// contact between instances and responses of targets take precedence.
package lister
