package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

//go:generate go tool enumer -type=Eligibility -trimprefix=Eligibility -transform=title-lower -text

// Eligibility is which requests an instance may get.
type Eligibility int

// The eligibilities of an instance.
const (
	// EligibilityNone means that it gets no requests.
	EligibilityNone Eligibility = iota
	// EligibilityTrial means that it gets idempotent requests, one at a time.
	EligibilityTrial
	// EligibilityAll means that it gets any request.
	EligibilityAll
)

const (
	// serviceDecay is the weight of a new service time in the mean.
	serviceDecay = 0.05
	// lateFactor is how many mean service times before its deadline a request must start.
	lateFactor = 1.5
	// initialService is the mean service time before any is known.
	initialService = 10 * time.Millisecond
	// shedPause is how long an instance that shed load gets no more than it runs.
	shedPause = 200 * time.Millisecond
	// rampStep is how long a cold instance takes to go from one slot to the next.
	rampStep = 500 * time.Millisecond
	// trialPause is the least time between the requests of a trial.
	trialPause = 50 * time.Millisecond
)

// ErrNoCapacity is returned by Submit when no instance may get the request.
var ErrNoCapacity = errors.New("no backend server is available")

// Request is what the scheduler has to know of a waiting request.
type Request struct {
	Idempotent bool
	// Avoid is an instance that has run the request before, or none if negative.
	Avoid int
}

// slots is the capacity of one instance.
type slots struct {
	size     int
	inFlight int
	// pausedUntil is when an instance that shed load may get more again.
	pausedUntil time.Time
	// coldSince is when a cold instance began; zero for a warm one.
	coldSince time.Time
	trialAt   time.Time
}

// limit returns how many requests the instance may run at now.
func (s *slots) limit(now time.Time) int {
	if now.Before(s.pausedUntil) {
		return min(s.size, s.inFlight)
	}
	if s.coldSince.IsZero() {
		return s.size
	}
	return min(s.size, 1+int(now.Sub(s.coldSince)/rampStep))
}

// Scheduler assigns waiting requests of a group to the slots of its instances.
// The values of T are the caller's. It is not safe for concurrent use.
type Scheduler[T any] struct {
	queue     *Queue[T]
	instances []*slots
	request   func(T) Request
	eligible  func(instance int) Eligibility
	service   time.Duration
	random    *rand.Rand
	asserter  *asserter.Asserter
}

// New returns a scheduler that lets each account have bound requests waiting.
func New[T any](bound int, request func(T) Request, eligible func(int) Eligibility, random *rand.Rand, a *asserter.Asserter) *Scheduler[T] {
	return &Scheduler[T]{
		queue: NewQueue[T](bound), request: request, eligible: eligible,
		service: initialService, random: random, asserter: a,
	}
}

// Add makes the instance with the next index; a cold one gets its slots one by one.
func (s *Scheduler[T]) Add(now time.Time, size int, cold bool) {
	in := &slots{size: size}
	if cold {
		in.coldSince = now
	}
	s.instances = append(s.instances, in)
}

// SetSize changes how many requests an instance runs at once.
func (s *Scheduler[T]) SetSize(i, size int) { s.instances[i].size = size }

// SetCold begins the ramp of an instance that starts anew.
func (s *Scheduler[T]) SetCold(now time.Time, i int) { s.instances[i].coldSince = now }

// InFlight returns how many requests an instance runs.
func (s *Scheduler[T]) InFlight(i int) int { return s.instances[i].inFlight }

// Len returns how many requests wait.
func (s *Scheduler[T]) Len() int { return s.queue.Len() }

// Accounts returns how many requests each account has waiting.
func (s *Scheduler[T]) Accounts() map[string]int { return s.queue.Accounts() }

// Capacity returns how many requests the eligible instances run at once.
func (s *Scheduler[T]) Capacity() int {
	n := 0
	for i, in := range s.instances {
		if s.eligible(i) == EligibilityAll {
			n += in.size
		}
	}
	return n
}

// Submit lets a request wait. It is refused with ErrDeadline when it would be served
// too late, with ErrQueueFull, or with ErrNoCapacity.
func (s *Scheduler[T]) Submit(now time.Time, it Item[T]) error {
	capacity := s.Capacity()
	if capacity == 0 {
		return ErrNoCapacity
	}
	wait := time.Duration(float64(s.service) * float64(s.queue.Ahead(it.Account, it.Weight)) / float64(capacity))
	if now.Add(wait + time.Duration(lateFactor*float64(s.service))).After(it.Deadline) {
		return errors.Wrapf(ErrDeadline, "served in %s", wait+s.service)
	}
	it.Queued = now
	return s.queue.Push(it)
}

// Expired removes the waiting requests whose deadline can no longer be met, so that no
// instance runs them in vain.
func (s *Scheduler[T]) Expired(now time.Time) []Item[T] {
	end := now.Add(time.Duration(lateFactor * float64(s.service)))
	return s.queue.Drop(func(it Item[T]) bool { return !end.Before(it.Deadline) })
}

// Withdraw removes the waiting requests that match.
func (s *Scheduler[T]) Withdraw(match func(T) bool) []Item[T] {
	return s.queue.Drop(func(it Item[T]) bool { return match(it.Value) })
}

// Next starts a waiting request and returns its instance, or false if none can start.
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

// Start starts a request that did not wait at an instance that Choose returned.
func (s *Scheduler[T]) Start(now time.Time, i int) { s.start(now, i) }

func (s *Scheduler[T]) start(now time.Time, i int) {
	s.asserter.Check(s.eligible(i) != EligibilityNone, asserter.RuleLeaving, "instance %d gets a request", i)
	s.instances[i].inFlight++
	s.instances[i].trialAt = now
}

// Choose returns the instance with the lowest share of its slots in use among those that may
// get the request, a random one of equals, or a negative number. The instance to avoid is
// chosen only if it is the only one that may.
func (s *Scheduler[T]) Choose(now time.Time, r Request) int {
	best, share, equals, others := -1, 0.0, 0, false
	for i, in := range s.instances {
		if i == r.Avoid {
			continue
		}
		e := s.eligible(i)
		others = others || e == EligibilityAll
		if in.inFlight >= in.limit(now) {
			continue
		}
		if e == EligibilityTrial && s.tries(now, in, r) {
			return i
		}
		if e != EligibilityAll {
			continue
		}
		switch used := float64(in.inFlight) / float64(in.size); {
		case best < 0 || used < share:
			best, share, equals = i, used, 1
		case used == share:
			equals++
			if s.random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	if best < 0 && !others && r.Avoid >= 0 {
		return s.Choose(now, Request{Idempotent: r.Idempotent, Avoid: -1})
	}
	return best
}

// tries reports whether a request may be part of an instance's trial.
func (s *Scheduler[T]) tries(now time.Time, in *slots, r Request) bool {
	return r.Idempotent && r.Avoid < 0 && in.inFlight == 0 && now.Sub(in.trialAt) >= trialPause
}

// Finish frees the slot of a request that ran for d.
func (s *Scheduler[T]) Finish(i int, d time.Duration) {
	s.instances[i].inFlight--
	s.service += time.Duration(serviceDecay * float64(d-s.service))
}

// Shed notes that an instance refused a request to protect itself.
func (s *Scheduler[T]) Shed(now time.Time, i int) {
	s.instances[i].pausedUntil = now.Add(shedPause)
}

// MeanServiceTime returns the mean service time.
func (s *Scheduler[T]) MeanServiceTime() time.Duration { return s.service }
