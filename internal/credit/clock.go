package credit

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the wall clock's time at the start of the process, and startBoot the time since
// the VM's boot then.
var start, startBoot = time.Now().Round(0), sinceBoot()

// Now returns the present time by a clock that also runs while the VM is suspended, and
// that is not set. Credit must not outlive a suspension.
func Now() time.Time {
	if startBoot == 0 {
		return time.Now()
	}
	return start.Add(sinceBoot() - startBoot)
}

// sinceBoot returns the time since the VM's boot, zero if the system does not tell it.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
