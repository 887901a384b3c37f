package credit

import (
	"time"

	"github.com/borageusher/borageusher/internal/boottime"
)

// start is the wall clock's time at the start of the process, and startBoot the time since
// the VM's boot then.
var start, startBoot = time.Now().Round(0), boottime.Now()

// Now returns the present time by a clock that also runs while the VM is suspended, and
// that is not set. Credit must not outlive a suspension.
func Now() time.Time { return start.Add(boottime.Now() - startBoot) }
