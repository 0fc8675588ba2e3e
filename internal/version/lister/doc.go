// Package lister decodes the platform's list of instances and targets.
//
// The list may be out of date, so the other packages treat it as a hint: direct
// contact between instances and responses of targets take precedence.
package lister
