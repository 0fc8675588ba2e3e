// Package seeker selects the instance in each remote availability zone that is asked for
// targets with free slots there.
//
// One question to an instance of a remote zone, which probes the targets of that zone,
// replaces many probes over links between zones, which are slower and may be charged.
// An instance keeps asking the same instance of a zone while that one responds, so that
// few connections cross zones. When two questions in a row got no response, the zone
// counts as unresponsive for a while, and its targets are probed directly.
package seeker
