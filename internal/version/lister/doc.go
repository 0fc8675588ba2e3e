// Package lister decodes the platform's list of instances and targets.
//
// The list lags behind reality, so the rest of the system treats it as a hint:
// direct contact between instances and answers of targets correct it.
package lister
