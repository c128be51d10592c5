package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// pause is a pause of the owner of an account's rate.
type pause struct {
	vms    int
	limit  float64
	length time.Duration
	// hotFor is how long before the end of the pause the account begins to send many times its rate.
	hotFor time.Duration
	// exchanged says that the owner exchanges with its leader before it handles what waits in its sockets.
	exchanged bool
}

const (
	pausedAt = 10 * time.Second
	// pauseNoticed is how long into a pause the others mark the VM down, and pauseForgotten how long after it they see it again.
	pauseNoticed   = 1500 * time.Millisecond
	pauseForgotten = 500 * time.Millisecond
	// hotDemand is how many times its rate an account sends.
	hotDemand = 7.5
	// ownerTimeout is how long a VM waits for the answer of an owner.
	ownerTimeout = 250 * time.Millisecond
)

// asked is a request that waits for the answer of the paused owner.
type asked struct {
	vm  int
	due time.Duration
}

// pausedFleet is a fleet whose owner of the account's rate pauses.
type pausedFleet struct {
	*fleet
	pause
	owner  int
	paused bool
	// asked holds the requests that wait for the owner, waiting is how many wait in its socket for callers, and expired holds
	// the VMs whose calls wait in its socket for peers but are not waited for any more.
	asked    []asked
	waiting  int
	expired  []int
	admitted []time.Time
}

func newPausedFleet(t *testing.T, p pause) *pausedFleet {
	f := &pausedFleet{fleet: newFleet(p.vms, p.limit), pause: p}
	f.advance(0)
	first := f.relayers[0].TryAdmit(context.Background(), &f.account).Owner
	f.owner = slices.IndexFunc(f.members, func(m tracker.Member) bool { return m.ID() == first })
	require.GreaterOrEqual(t, f.owner, 0)
	f.cut = func(from, to netip.AddrPort) bool {
		a := f.members[f.owner].Address
		return f.paused && (from == a) != (to == a)
	}
	return f
}

// play returns the most requests that were admitted in 5 s.
func (f *pausedFleet) play() int {
	const step = 50 * time.Millisecond
	end := pausedAt + f.length
	credit, vm := 0.0, 0
	for at := time.Duration(0); at < end+8*time.Second; at += step {
		f.clock.Advance(step)
		if woke := f.paused && at >= end; woke {
			f.paused = false
			f.wake()
		}
		f.paused = at >= pausedAt && at < end
		f.exchange(f.length > pauseNoticed && at >= pausedAt+pauseNoticed && at < end+pauseForgotten)
		for len(f.asked) > 0 && at >= f.asked[0].due {
			if f.paused {
				f.expired = append(f.expired, f.asked[0].vm)
			}
			f.try(f.asked[0].vm)
			f.asked = f.asked[1:]
		}
		demand := 0.5
		if at >= end-f.hotFor {
			demand = hotDemand
		}
		for credit += demand * f.limit * step.Seconds(); credit >= 1; credit-- {
			vm = (vm + 1) % f.vms
			f.request(vm, at)
		}
	}
	return mostIn(f.admitted, 5*time.Second)
}

// request sends a request of the account to a VM.
func (f *pausedFleet) request(vm int, at time.Duration) {
	o := f.members[f.owner].Address
	switch {
	case f.paused && vm == f.owner:
		f.waiting++
	case f.paused && !f.relayers[vm].Suspected(o) && f.seesOwner(vm):
		f.asked = append(f.asked, asked{vm, at + ownerTimeout})
	default:
		f.try(vm)
	}
}

// seesOwner reports whether a VM does not see the owner as down.
func (f *pausedFleet) seesOwner(vm int) bool {
	return slices.ContainsFunc(f.trackers[vm].Members(), func(m tracker.Member) bool {
		return m.Address == f.members[f.owner].Address && m.Role == tracker.RoleReady
	})
}

func (f *pausedFleet) try(vm int) {
	if f.admit(vm) {
		f.admitted = append(f.admitted, f.clock.Now())
	}
}

// wake lets the owner handle what waits in its sockets.
func (f *pausedFleet) wake() {
	r := f.relayers[f.owner]
	if f.exchanged {
		r.Refresh(context.Background())
	}
	for _, vm := range f.expired {
		_, _, _ = r.Handle(context.Background(), f.members[vm].VM, &wire.Request{Body: &wire.Request_Take{Take: &wire.Take{Account: f.account.Name, Want: 1}}})
	}
	for range f.waiting {
		f.try(f.owner)
	}
	f.waiting, f.expired = 0, nil
}

// exchange lets all VMs but a paused one exchange with their leaders; down says that the others see the owner as down.
func (f *pausedFleet) exchange(down bool) {
	for i, r := range f.relayers {
		if i == f.owner && f.paused {
			continue
		}
		f.seePaused(i, f.owner, down)
		r.Refresh(context.Background())
		r.ReportGrants(context.Background())
	}
}

// allowed returns how many requests of the account may be admitted in 5 s.
func (p pause) allowed() float64 { return 1.1*(p.limit*5+p.limit) + 20 }

// holds asserts that a pause of each length, while the account is hot for different times, admits no more than is allowed.
func (p pause) holds(t *testing.T, lengths, hotFor []time.Duration) {
	for _, p.length = range lengths {
		for _, p.hotFor = range hotFor {
			for _, p.exchanged = range []bool{false, true} {
				require.LessOrEqual(t, float64(newPausedFleet(t, p).play()), p.allowed(), "%+v", p)
			}
		}
	}
}

// An owner that was taken for lost must not go on when it wakes up as if no other VM had granted tokens meanwhile.
func TestOwnerThatWakesUpDoesNotGrantWhatOthersGranted(t *testing.T) {
	lengths := []time.Duration{2 * time.Second, 3 * time.Second, 8 * time.Second}
	for _, p := range []pause{{vms: 3, limit: 43}, {vms: 8, limit: 43}} {
		p.holds(t, lengths, []time.Duration{4 * time.Second, 9 * time.Second})
	}
}

// An owner that wakes up before it is taken for lost does not know what the others admitted without it.
func TestRateHoldsWhenItsOwnerPausesForAMoment(t *testing.T) {
	for _, c := range []pause{{vms: 8, limit: 43}, {vms: 8, limit: 120}, {vms: 44, limit: 20}, {vms: 44, limit: 120}} {
		t.Run(fmt.Sprint(c.vms, " VMs, ", c.limit, "/s"), func(t *testing.T) {
			c.holds(t, []time.Duration{600 * time.Millisecond, 1450 * time.Millisecond}, []time.Duration{2 * time.Second, 7 * time.Second})
		})
	}
}

// A VM that wakes up sends what it was admitted before, and the owner of an instance's limit decides on what waited.
func TestInstanceLimitHoldsWhenAVMWakesUp(t *testing.T) {
	for _, vms := range []int{2, 5} {
		for _, limit := range []float64{0.5, 6, 30} {
			for _, length := range []time.Duration{1450 * time.Millisecond, 3 * time.Second} {
				for paused := range vms {
					f := newLimitedFleet(vms, limit)
					f.playPause(paused, length)
					require.LessOrEqual(t, float64(mostIn(f.arrivedAt, limitSpan)), 1.5*limit*limitSpan.Seconds()+5, "%d VMs, %v/s, VM %d paused for %v", vms, limit, paused, length)
				}
			}
		}
	}
}

// playPause pauses a VM; the requests that it admits right before it pauses arrive when it wakes up.
func (f *limitedFleet) playPause(paused int, length time.Duration) {
	const step = 50 * time.Millisecond
	a := f.members[paused].Address
	end := pausedAt + length
	asleep, waiting, held := false, 0, 0
	f.cut = func(from, to netip.AddrPort) bool { return asleep && (from == a) != (to == a) }
	for at := time.Duration(0); at < end+6*time.Second; at += step {
		f.clock.Advance(step)
		if asleep = at >= pausedAt && at < end; at == end {
			f.wake(paused, held, waiting)
		}
		down := length > pauseNoticed && at >= pausedAt+pauseNoticed && at < end+pauseForgotten
		for i, r := range f.relayers {
			if i != paused || !asleep {
				f.seePaused(i, paused, down)
				r.Refresh(context.Background())
			}
		}
		demand := 1 + int(limitDemand*f.limit*step.Seconds())
		for n := range demand * len(f.relayers) {
			switch i := n / demand; {
			case i != paused || at < pausedAt-ownerTimeout || at >= end:
				f.send(i)
			case asleep:
				waiting++
			case f.relayers[i].AdmitSend(context.Background(), "i").Admitted:
				held++
			}
		}
	}
}

// wake lets the requests arrive that a VM was admitted before it paused, and lets it send those that waited for it.
func (f *limitedFleet) wake(vm, held, waiting int) {
	for range held {
		f.arrivedAt = append(f.arrivedAt, f.clock.Now())
	}
	for range waiting {
		f.send(vm)
	}
}

// limitDemand is how many times an instance's limit each VM sends.
const limitDemand = 2

// seePaused lets VM i see the others, and the one that pauses as down.
func (f *fleet) seePaused(i, paused int, down bool) {
	for j, m := range f.members {
		if m.AsOf = f.clock.Now(); j == paused && down {
			m.Role = tracker.RoleDown
		}
		if i != j {
			f.trackers[i].UpdateMember(m)
		}
	}
}
