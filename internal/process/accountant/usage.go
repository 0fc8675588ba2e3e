package accountant

import (
	"syscall"
	"time"
)

// processCPUTime returns the user and system time used by the process, or 0 if the
// kernel does not report it.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
