// Package ranker ranks ways to choose targets for one service in virtual time.
//
// A few fake targets with slow times and bursts of arrivals stand in for the
// service; the deciding parts of the dispatcher are driven as the network would
// drive them. The machine's noise plays no part, so that mechanisms can be kept or
// dropped by figures that repeat. It ranks choosers and stands for nothing else.
package ranker
