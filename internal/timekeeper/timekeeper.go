package timekeeper

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock tells the time of day at its start plus the time since then, suspensions included. Steps of the
// time of day do not show.
type Clock struct {
	clockwork.Clock
	wall time.Time
	boot time.Duration
}

// New returns a clock.
func New() (*Clock, error) {
	b, err := sinceBoot()
	// Round(0) takes away the reading of the clock that stands still in a suspension.
	return &Clock{Clock: clockwork.NewRealClock(), wall: time.Now().Round(0), boot: b}, err
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "clock that counts suspensions")
	}
	return time.Duration(t.Nano()), nil
}

// Now returns the time.
func (c *Clock) Now() time.Time {
	b, err := sinceBoot()
	if err != nil {
		// New has read the same clock, so this does not happen on a machine that runs.
		panic(err)
	}
	return c.wall.Add(b - c.boot)
}

// Since returns the time since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
