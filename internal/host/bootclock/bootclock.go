// Package bootclock reads the clock that also counts while the host is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the boot clock and the time of day.
type Clock struct{}

// Now returns the time since the host started as a time.Time. Only differences of its results mean something.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux since 2.6.39. Another one would break the bounds that rely on it.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Wall returns the time of day.
func (Clock) Wall() time.Time { return time.Now() }
