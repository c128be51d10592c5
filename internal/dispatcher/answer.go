package dispatcher

import (
	"io"
	"net/http"
	"time"
)

//go:generate go tool enumer -type=Outcome,Reason -trimprefix=Outcome,Reason -transform=kebab -text

// Outcome says whether a request ran on a backend server, as far as that is certain.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeAnswered means that a backend server responded to the request.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun means that no backend server started the request.
	OutcomeNotRun
	// OutcomeUnknown means that a backend server may have run the request.
	OutcomeUnknown
)

// Reason says why there is no response to a request.
type Reason int

// The reasons for which there is no response to a request.
const (
	// ReasonNone is the reason of a request with OutcomeAnswered.
	ReasonNone Reason = iota
	// ReasonOverload means that a limit was reached (the queue, the memory for bodies or the requests in
	// flight), that the request could not have been served before its deadline, or that the backend server
	// shed it.
	ReasonOverload
	// ReasonNoBackend means that no backend server is available or reachable.
	ReasonNoBackend
	// ReasonTimeout means that the request's deadline passed.
	ReasonTimeout
	// ReasonFailed means that the backend server's response was truncated, belonged to another request or
	// did not arrive.
	ReasonFailed
	// ReasonCanceled means that the caller canceled the request.
	ReasonCanceled
	// ReasonNoService means that the service is missing from this VM's configuration.
	ReasonNoService
	// ReasonNoContact means that this VM has lost contact with its fleet.
	ReasonNoContact
	// ReasonOverRate means that the client account exceeds its rate limit.
	ReasonOverRate
	// ReasonKey means that the API key is missing, unknown or revoked.
	ReasonKey
	// ReasonNoRoute means that no route matches the request.
	ReasonNoRoute
	// ReasonBadRequest means that the request itself is invalid.
	ReasonBadRequest
	// ReasonRepeated means that an earlier attempt with the same idempotency key ran or may have run.
	ReasonRepeated
	// ReasonNoOwner means that no owner of the client account's rate limit is reachable.
	ReasonNoOwner
	// ReasonRecords means that the attempt could not be recorded under its idempotency key.
	ReasonRecords
	// ReasonStopping means that this VM stops before the request's deadline.
	ReasonStopping
)

// Request is a request to one of a group's instances.
type Request struct {
	ID      string
	Service string
	// Group is the index of the group among those that Groups returns for the service.
	Group int
	// Account is the name of the client account, or empty on an open route.
	Account string
	// Weight sets the account's share of the service under overload. It is the account's rate, in requests
	// per second.
	Weight float64
	// Route is the name under which the detector compares latencies.
	Route      string
	Method     string
	Target     string
	Header     http.Header
	Body       []byte
	Deadline   time.Time
	Idempotent bool
}

// Answer is the result of a request: a backend server's response, or why there is none. Rest is set when the
// response body is longer than MaxBufferedBody: it reads what follows Body and returns an error if the response is
// truncated. The receiver of the Answer must close Rest.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	Status  int
	Header  http.Header
	Body    []byte
	Rest    io.ReadCloser
}

func notRun(r Reason, err error) Answer {
	return Answer{Outcome: OutcomeNotRun, Reason: r, Detail: err.Error()}
}

func unknown(r Reason, err error) Answer {
	return Answer{Outcome: OutcomeUnknown, Reason: r, Detail: err.Error()}
}
