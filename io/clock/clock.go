package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time.Time without a date. Unlike the
// monotonic clock it counts the time in which the machine was suspended, and unlike the time of day it doesn't jump.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only kernels before 2.6.39 lack the clock; leases can't be judged without it.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
