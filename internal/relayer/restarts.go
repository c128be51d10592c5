package relayer

import (
	"net/netip"
	"sync"

	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
	"github.com/jacinthproxy/jacinthproxy/pkg/recognizer"
)

// restarts tells the tracker of instances that may have started again, by the outcomes that this VM and its peers observed. All
// VMs keep the outcomes, so that a new leader has them, and the leaders of the failure domains decide: they hear of all. It is
// safe for concurrent use.
type restarts struct {
	relayer *Relayer

	mu         sync.Mutex
	recognizer *recognizer.Recognizer
}

func newRestarts(r *Relayer) *restarts {
	return &restarts{relayer: r, recognizer: recognizer.New()}
}

// observe takes the outcomes at an instance that a VM observed or passed on.
func (s *restarts) observe(reporter netip.AddrPort, instance string, counts map[balancer.Outcome]int) {
	failed, answered := false, false
	for o, n := range counts {
		switch o {
		case balancer.OutcomeBroken, balancer.OutcomeUnreachable, balancer.OutcomeOverdue:
			failed = failed || n > 0
		case balancer.OutcomeAnswered, balancer.OutcomeError, balancer.OutcomeShed:
			answered = answered || n > 0
		case balancer.OutcomeCanceled, balancer.OutcomeMoved:
		}
	}
	now, restarted := s.relayer.Clock.Now(), false
	s.mu.Lock()
	if answered {
		restarted = s.recognizer.Answer(now, instance)
	}
	if failed {
		s.recognizer.Alone = len(s.relayer.Tracker.Members()) == 1
		restarted = s.recognizer.Fail(now, instance, reporter) || restarted
	}
	s.mu.Unlock()
	if restarted && s.relayer.IsLeader() {
		s.relayer.Tracker.PresumeWarmup(instance)
	}
}

// observeAll takes the outcomes that a peer passed on.
func (s *restarts) observeAll(from netip.AddrPort, rs []InstanceReport) {
	for _, r := range rs {
		s.observe(from, r.Instance, r.Counts)
	}
}
