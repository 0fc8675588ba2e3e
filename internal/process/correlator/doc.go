// Package correlator puts the story of one request together from the logs of many
// instances.
//
// The time of day of an instance may jump, so lines are ordered by the steady time
// since each process's start, which is anchored by the median of what its lines
// say of the time of day.
package correlator
