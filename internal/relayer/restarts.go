package relayer

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/recognizer"
)

// restarts tells the tracker of instances that may have started again, by the outcomes that this VM and its peers observed. It is
// safe for concurrent use.
type restarts struct {
	clock   clockwork.Clock
	tracker *tracker.Tracker

	mu         sync.Mutex
	recognizer *recognizer.Recognizer
}

func newRestarts(c clockwork.Clock, t *tracker.Tracker) *restarts {
	return &restarts{clock: c, tracker: t, recognizer: recognizer.New()}
}

// observe takes the outcomes at an instance, and reports whether a warm-up was not known before.
func (s *restarts) observe(instance string, counts map[balancer.Outcome]int) bool {
	failures, answers := 0, 0
	for o, n := range counts {
		switch o {
		case balancer.OutcomeBroken, balancer.OutcomeUnreachable, balancer.OutcomeOverdue:
			failures += n
		case balancer.OutcomeAnswered, balancer.OutcomeError, balancer.OutcomeShed:
			answers += n
		case balancer.OutcomeCanceled, balancer.OutcomeMoved:
		}
	}
	s.mu.Lock()
	now, restarted := s.clock.Now(), false
	if answers > 0 {
		restarted = s.recognizer.Answer(now, instance)
	}
	if failures > 0 {
		restarted = s.recognizer.Fail(now, instance, failures) || restarted
	}
	s.mu.Unlock()
	return restarted && s.tracker.PresumeWarmup(instance)
}

// observeAll takes the outcomes that peers observed.
func (s *restarts) observeAll(rs []InstanceReport) {
	for _, r := range rs {
		s.observe(r.Instance, r.Counts)
	}
}
