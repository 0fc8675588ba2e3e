// Package seeker selects the instance in each remote availability zone that is queried
// for targets with free slots there.
//
// One query to an instance of a remote zone, which probes the targets of that zone,
// replaces many probes over links between zones, which are slower and whose traffic may
// be billed. An instance keeps querying the same instance of a zone while it responds, so
// that few connections cross zones. When two queries in a row got no response, the zone
// counts as unresponsive for unresponsivePeriod, and its targets are probed directly.
package seeker
