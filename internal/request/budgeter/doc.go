// Package budgeter bounds what one instance adds to its clients' requests:
// attempts beyond the first, and probes.
//
// Each instance holds a fixed part of the fleet's budget, so that the whole
// budget is kept without any message, also while the fleet is partitioned or
// its members restart.
package budgeter
