package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

//go:generate go tool enumer -type=Eligibility -trimprefix=Eligibility -transform=title-lower -text

// Eligibility determines which requests an instance may get.
type Eligibility int

// The eligibilities of an instance.
const (
	// EligibilityNone means that the instance gets no requests.
	EligibilityNone Eligibility = iota
	// EligibilityTrial means that the instance gets idempotent requests, one at a time.
	EligibilityTrial
	// EligibilityAll means that the instance gets any request.
	EligibilityAll
)

const (
	// serviceTimeWeight is the weight of a new sample in the moving average of service time.
	serviceTimeWeight = 0.05
	// deadlineFactor is how many mean service times before its deadline a request must start at the latest.
	deadlineFactor = 1.5
	// initialServiceTime is the assumed mean service time before the first request has finished.
	initialServiceTime = 10 * time.Millisecond
	// shedPause is how long after shedding load an instance gets no additional requests in flight.
	shedPause = 200 * time.Millisecond
	// rampStep is the time after which a cold instance gets its next slot.
	rampStep = 500 * time.Millisecond
	// minTrialInterval is the minimum time between the starts of two requests of a trial.
	minTrialInterval = 50 * time.Millisecond
)

// ErrNoCapacity is returned by Submit when Capacity is zero.
var ErrNoCapacity = errors.New("no backend server is available")

// Request has the properties of a request that determine which instances may run it.
type Request struct {
	Idempotent bool
	// Avoid is the index of the instance that the request was already sent to, or negative if there is none.
	Avoid int
}

// instance is the capacity of an instance and the state that determines how much of it may be used.
type instance struct {
	slots    int
	inFlight int
	// pausedUntil is when the pause after shedding load ends.
	pausedUntil time.Time
	// coldSince is when the ramp of a cold instance began; zero for an instance that was never cold.
	coldSince time.Time
	// lastStartAt is when a request last started, in a trial or not.
	lastStartAt time.Time
}

// limit returns how many requests the instance may have in flight at now.
func (s *instance) limit(now time.Time) int {
	if now.Before(s.pausedUntil) {
		return min(s.slots, s.inFlight)
	}
	if s.coldSince.IsZero() {
		return s.slots
	}
	return min(s.slots, 1+int(now.Sub(s.coldSince)/rampStep))
}

// Scheduler assigns waiting requests of a group to the slots of its instances. It keeps the service time as a moving
// average over all instances. Values of type T belong to the caller. It is not safe for concurrent use.
type Scheduler[T any] struct {
	queue       *Queue[T]
	instances   []*instance
	request     func(T) Request
	eligible    func(instance int) Eligibility
	serviceTime time.Duration
	random      *rand.Rand
	asserter    *asserter.Asserter
}

// New returns a scheduler without instances, for at most maxPerAccount waiting requests of each account. The function
// request returns the properties of a caller's value, and eligible the current eligibility of the instance with an
// index.
func New[T any](maxPerAccount int, request func(T) Request, eligible func(int) Eligibility, random *rand.Rand, a *asserter.Asserter) *Scheduler[T] {
	return &Scheduler[T]{
		queue: NewQueue[T](maxPerAccount), request: request, eligible: eligible,
		serviceTime: initialServiceTime, random: random, asserter: a,
	}
}

// Add adds an instance with the next index and the given number of slots. A cold instance gets its slots one by one.
func (s *Scheduler[T]) Add(now time.Time, slots int, cold bool) {
	in := &instance{slots: slots}
	if cold {
		in.coldSince = now
	}
	s.instances = append(s.instances, in)
}

// SetSlots sets the number of slots of an instance.
func (s *Scheduler[T]) SetSlots(i, slots int) { s.instances[i].slots = slots }

// SetCold restarts the ramp of an instance: it gets its slots one by one again.
func (s *Scheduler[T]) SetCold(now time.Time, i int) { s.instances[i].coldSince = now }

// InFlight returns the number of requests in flight at an instance.
func (s *Scheduler[T]) InFlight(i int) int { return s.instances[i].inFlight }

// Len returns the number of waiting requests.
func (s *Scheduler[T]) Len() int { return s.queue.Len() }

// Accounts returns the number of waiting requests of each account that has any.
func (s *Scheduler[T]) Accounts() map[string]int { return s.queue.Accounts() }

// Capacity returns the number of slots of all instances that may get any request.
func (s *Scheduler[T]) Capacity() int {
	n := 0
	for i, in := range s.instances {
		if s.eligible(i) == EligibilityAll {
			n += in.slots
		}
	}
	return n
}

// Submit queues a request. It returns ErrNoCapacity if Capacity is zero, ErrDeadline if the request is not expected to
// meet its deadline, and ErrQueueFull if its account has too many requests waiting.
func (s *Scheduler[T]) Submit(now time.Time, it Item[T]) error {
	capacity := s.Capacity()
	if capacity == 0 {
		return ErrNoCapacity
	}
	wait := time.Duration(float64(s.serviceTime) * float64(s.queue.Ahead(it.Account, it.Weight)) / float64(capacity))
	if now.Add(wait + time.Duration(deadlineFactor*float64(s.serviceTime))).After(it.Deadline) {
		return errors.Wrapf(ErrDeadline, "served in %s", wait+s.serviceTime)
	}
	it.Queued = now
	return s.queue.Push(it)
}

// DropLate removes and returns the waiting requests that cannot meet their deadline any more, so that no instance runs
// them for nothing.
func (s *Scheduler[T]) DropLate(now time.Time) []Item[T] {
	end := now.Add(time.Duration(deadlineFactor * float64(s.serviceTime)))
	return s.queue.Drop(func(it Item[T]) bool { return !end.Before(it.Deadline) })
}

// Withdraw removes and returns the waiting requests that match.
func (s *Scheduler[T]) Withdraw(match func(T) bool) []Item[T] {
	return s.queue.Drop(func(it Item[T]) bool { return match(it.Value) })
}

// Next starts the next waiting request for which an instance has a free slot. It returns the request and the index of
// the instance, or false if no request can start.
func (s *Scheduler[T]) Next(now time.Time) (Item[T], int, bool) {
	chosen := -1
	it, ok := s.queue.Pop(func(it Item[T]) bool {
		chosen = s.Choose(now, s.request(it.Value))
		return chosen >= 0
	})
	if ok {
		s.start(now, chosen)
	}
	return it, chosen, ok
}

// Start starts a request that was not queued on an instance that Choose returned.
func (s *Scheduler[T]) Start(now time.Time, i int) { s.start(now, i) }

func (s *Scheduler[T]) start(now time.Time, i int) {
	s.asserter.Check(s.eligible(i) != EligibilityNone, asserter.RuleLeaving,
		"request started on instance %d, which may get none", i)
	s.instances[i].inFlight++
	s.instances[i].lastStartAt = now
}

// Choose returns the index of the instance to run a request on, or a negative number if none has a free slot for it. An
// instance whose trial the request may be part of is chosen first, otherwise the one with the lowest share of its slots
// in use, with ties broken at random. The instance to avoid is chosen only if no other instance may get any request.
func (s *Scheduler[T]) Choose(now time.Time, r Request) int {
	best, share, ties, others := -1, 0.0, 0, false
	for i, in := range s.instances {
		if i == r.Avoid {
			continue
		}
		e := s.eligible(i)
		others = others || e == EligibilityAll
		if in.inFlight >= in.limit(now) {
			continue
		}
		if e == EligibilityTrial && s.trialAllowed(now, in, r) {
			return i
		}
		if e != EligibilityAll {
			continue
		}
		switch used := float64(in.inFlight) / float64(in.slots); {
		case best < 0 || used < share:
			best, share, ties = i, used, 1
		case used == share:
			ties++
			if s.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 && !others && r.Avoid >= 0 {
		return s.Choose(now, Request{Idempotent: r.Idempotent, Avoid: -1})
	}
	return best
}

// trialAllowed reports whether a request may now run as part of the trial of an instance: only idempotent requests that
// were not sent before do, one at a time and minTrialInterval apart.
func (s *Scheduler[T]) trialAllowed(now time.Time, in *instance, r Request) bool {
	return r.Idempotent && r.Avoid < 0 && in.inFlight == 0 && now.Sub(in.lastStartAt) >= minTrialInterval
}

// Finish frees the slot of a request that ran for d, and adds d to the mean service time.
func (s *Scheduler[T]) Finish(i int, d time.Duration) {
	s.instances[i].inFlight--
	s.serviceTime += time.Duration(serviceTimeWeight * float64(d-s.serviceTime))
}

// Shed records that an instance refused a request in order to shed load. For shedPause, it then gets no additional
// requests in flight.
func (s *Scheduler[T]) Shed(now time.Time, i int) {
	s.instances[i].pausedUntil = now.Add(shedPause)
}

// MeanServiceTime returns the mean service time, a moving average.
func (s *Scheduler[T]) MeanServiceTime() time.Duration { return s.serviceTime }
