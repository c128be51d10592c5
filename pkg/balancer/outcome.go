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
	ratioAnswered    = -1.5
	ratioError       = 3.0
	ratioBroken      = 5.0
	ratioUnreachable = 5.0
	ratioOverdue     = 2.0
)

// pathShare is the weight of a network path failure that a peer reports. An instance that many peers cannot reach is
// down; if only a few cannot reach it, their network path is broken.
const pathShare = 0.2

// ratio returns the log-likelihood ratio of an outcome that this process observed itself (own) or that a peer
// reported.
func ratio(o Outcome, own bool) float64 {
	path := 1.0
	if !own {
		path = pathShare
	}
	switch o {
	case OutcomeAnswered:
		return ratioAnswered
	case OutcomeError:
		return ratioError
	case OutcomeBroken:
		return ratioBroken
	case OutcomeUnreachable:
		return ratioUnreachable * path
	case OutcomeOverdue:
		return ratioOverdue * path
	case OutcomeShed, OutcomeCanceled, OutcomeMoved:
	}
	return 0
}
