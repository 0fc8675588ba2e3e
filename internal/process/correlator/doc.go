// Package correlator builds the timeline of one request from the logs of many
// instances.
//
// The time of day of an instance may jump, so it cannot order the lines. Each line
// also holds the monotonic time since its process started. The package estimates the
// start of a process from every line as the time of day minus this time, takes the
// median of the estimates, and places each line at that start plus its monotonic
// time. Lines that were logged while the time of day was wrong do not change the median
// much, as long as they are the minority.
package correlator
