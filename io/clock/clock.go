package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the machine, as a time.Time whose date has no meaning. Unlike the monotonic clock
// it includes the time in which the machine was suspended, and unlike the wall clock it doesn't jump.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only kernels before 2.6.39 lack this clock, without which the expiry of leases can't be determined.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
