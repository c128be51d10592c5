package balancer

//go:generate go tool enumer -type=Outcome -trimprefix=Outcome -transform=title-lower -text

// Outcome is what became of a request at an instance.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeAnswered is a whole answer of its own request.
	OutcomeAnswered Outcome = iota
	// OutcomeError is the instance's own server error.
	OutcomeError
	// OutcomeBroken is a connection that was reset or closed, or bytes that are no whole answer.
	OutcomeBroken
	// OutcomeUnreachable is a connection that could not be opened in time.
	OutcomeUnreachable
	// OutcomeOverdue is a request that takes much longer than usual.
	OutcomeOverdue
	// OutcomeShed is a refusal by an instance that protects itself.
	OutcomeShed
	// OutcomeCanceled is a request whose caller left or that another instance answered first.
	OutcomeCanceled
	// OutcomeMoved is an instance that is no longer at its address.
	OutcomeMoved
)

// Log-likelihood ratios, sick against well, of the outcomes. A well instance answers 987 of 1,000
// requests and breaks hardly any connection; a sick one fails most.
const (
	ratioAnswered    = -1.5
	ratioError       = 3.0
	ratioBroken      = 5.0
	ratioUnreachable = 5.0
	ratioOverdue     = 2.0
)

// pathShare is how much of another process's path trouble counts: an instance that many cannot reach is
// down, one that a few cannot reach is behind a broken path of theirs.
const pathShare = 0.2

// ratio returns the evidence of an outcome, of the observer's own or as another process reports it.
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
