package timekeeper

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a clock whose time is the wall time at its creation plus the time elapsed since then, including
// suspensions. Later steps of the wall clock have no effect. Its timers are those of the embedded clock.
type Clock struct {
	clockwork.Clock
	startWall time.Time
	startBoot time.Duration
}

// New returns a Clock, or an error if CLOCK_BOOTTIME cannot be read.
func New() (*Clock, error) {
	boot, err := sinceBoot()
	// Round(0) strips the monotonic clock reading, which does not advance during a suspension.
	return &Clock{Clock: clockwork.NewRealClock(), startWall: time.Now().Round(0), startBoot: boot}, err
}

// sinceBoot returns the time since boot, including suspensions.
func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the current time of the clock, without a monotonic reading.
func (c *Clock) Now() time.Time {
	boot, err := sinceBoot()
	if err != nil {
		// New has read the same clock before, so this cannot fail on a running VM.
		panic(err)
	}
	return c.startWall.Add(boot - c.startBoot)
}

// Since returns the time elapsed since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
