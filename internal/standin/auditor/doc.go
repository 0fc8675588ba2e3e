// Package auditor compares what callers were told with what the targets ran.
//
// It finds answers without a run, once kinds that ran twice, crossed and cut
// answers, and refusals of requests that ran after all.
package auditor
