package accountant

import (
	"syscall"
	"time"
)

// processorTime returns the user and system time used by the process, or 0 when
// the kernel does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
