// Package seeker chooses the instances through which an instance looks for room
// in other availability zones.
//
// One question to an instance of another zone, which asks the targets near it, takes
// the place of many probes over links that are slower and may be charged. Each
// instance keeps asking the same one of a zone while it answers, so that few
// connections cross zones. When two in a row have not answered, the zone counts
// as silent for a while, in which its targets are asked directly.
package seeker
