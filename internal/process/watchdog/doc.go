// Package watchdog detects that the process was paused.
//
// A process that was stopped and continued, or whose machine was suspended, still
// holds the data from before the pause: a target that has left in the meantime
// looks usable, and settings that were replaced look current. The process must
// start no work based on such data until it has asked its peers for updates.
package watchdog
