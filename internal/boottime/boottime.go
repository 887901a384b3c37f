// Package boottime reads the clock of a VM that also runs while the VM is suspended, which
// the monotonic clock of package time does not.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the VM, including the time in which it was
// suspended. It panics if the system has no such clock, as Linux before 2.6.39.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
