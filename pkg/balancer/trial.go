package balancer

import "time"

const (
	// trialAfter is the time without activity after which an instance, whether suspected or merely not chosen,
	// gets a trial: an idempotent request from its own failure domain. A healthy instance must not be without
	// requests for 2 s.
	trialAfter = 700 * time.Millisecond
	// remoteTrialAfter is the time without activity before processes of other failure domains start a trial. It is
	// longer because reports take longer to reach them.
	remoteTrialAfter = time.Second
	// trialProbability is the probability that an idempotent request is used for a trial that is due. It makes it unlikely
	// that several VMs start a trial of the same instance at the same time.
	trialProbability = 0.4
)

// pickTrial returns an instance for a trial by an idempotent request, or nil. Of two random instances that are due, it
// returns the one with the longer time without activity, so that VMs with the same view don't all choose the same one.
func (b *Balancer) pickTrial(now time.Time, r Request) *state {
	if b.random.Float64() >= trialProbability {
		return nil
	}
	b.dueTrials = b.dueTrials[:0]
	for _, s := range b.order {
		after := trialAfter
		if s.Domain != b.domain {
			after = remoteTrialAfter
		}
		if r.LowRetryBudget && s.suspect {
			after = after * 3 / 2
		}
		if s.trialsInFlight == 0 && now.Sub(s.lastActivityAt) > after && b.hasRoom(now, s, r) {
			b.dueTrials = append(b.dueTrials, s)
		}
	}
	if len(b.dueTrials) == 0 {
		return nil
	}
	x, y := b.dueTrials[b.random.IntN(len(b.dueTrials))], b.dueTrials[b.random.IntN(len(b.dueTrials))]
	if y.lastActivityAt.Before(x.lastActivityAt) {
		return y
	}
	return x
}
