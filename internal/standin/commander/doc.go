// Package commander implements the command line of the stand-ins.
//
// A stand-in takes the part of the platform, of a target or of the callers in tests, the
// demo and the benchmark. Further commands evaluate the results of loads, simulate
// placement strategies and make HTTP calls for scripts.
package commander
