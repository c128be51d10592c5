package balancer

//go:generate go tool enumer -type=Outcome -trimprefix=Outcome -transform=title-lower -text

// Outcome is the result of sending a request to an instance.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeAnswered is a complete answer that belongs to the request.
	OutcomeAnswered Outcome = iota
	// OutcomeError is a server error returned by the instance itself.
	OutcomeError
	// OutcomeBroken is a connection that was reset or closed, or received bytes that are not a complete answer.
	OutcomeBroken
	// OutcomeUnreachable is a connection that could not be opened in time.
	OutcomeUnreachable
	// OutcomeOverdue is a request that is taking much longer than usual.
	OutcomeOverdue
	// OutcomeShed is a request that the instance refused in order to shed load.
	OutcomeShed
	// OutcomeCanceled is a request whose caller disconnected or that another instance answered first.
	OutcomeCanceled
	// OutcomeMoved is an instance that is no longer at its address.
	OutcomeMoved
)

// The log-likelihood ratios, unhealthy against healthy, of the outcomes. A healthy instance answers 987 of 1,000
// requests and breaks hardly any connections; an unhealthy one fails most requests.
const (
	llrAnswered    = -1.5
	llrError       = 3.0
	llrBroken      = 5.0
	llrUnreachable = 5.0
	llrOverdue     = 2.0
)

// peerPathWeight is the weight of a network path failure that a peer reports. An instance that many peers cannot reach
// is down; if only a few cannot reach it, their network path is broken.
const peerPathWeight = 0.2

// llr returns the log-likelihood ratio of an outcome that this process observed itself (own) or that a peer
// reported.
func llr(o Outcome, own bool) float64 {
	pathWeight := 1.0
	if !own {
		pathWeight = peerPathWeight
	}
	switch o {
	case OutcomeAnswered:
		return llrAnswered
	case OutcomeError:
		return llrError
	case OutcomeBroken:
		return llrBroken
	case OutcomeUnreachable:
		return llrUnreachable * pathWeight
	case OutcomeOverdue:
		return llrOverdue * pathWeight
	case OutcomeShed, OutcomeCanceled, OutcomeMoved:
	}
	return 0
}
