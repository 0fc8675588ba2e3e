// Package watchdog notices that the process has been paused.
//
// A process that is stopped and continued, or whose machine was suspended, still
// believes what was true before: a target that has left meanwhile looks usable,
// and settings that were replaced look current. Until it has asked its peers, it
// must start no work on such beliefs.
package watchdog
