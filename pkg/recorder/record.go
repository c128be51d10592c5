package recorder

import "time"

// Verdict is a holder's reply to Begin.
type Verdict int

// The verdicts.
const (
	// VerdictNew means that the attempt is now recorded and that the holder has no other for its key.
	VerdictNew Verdict = iota
	// VerdictRunning means that another attempt began and no end of it was recorded: it is still
	// running, or the message about its end was lost.
	VerdictRunning
	// VerdictDone means that another attempt ended; its result is returned with the verdict.
	VerdictDone
	// VerdictMismatch means that the key was used for a request with different content.
	VerdictMismatch
	// VerdictUnsure means that the caller marked the attempt as a retry, but the holder's records
	// may not go back far enough to include the first attempt.
	VerdictUnsure
	// VerdictBusy means that the holder cannot record the attempt now: it is not a holder under
	// the given map, its records are incomplete, or its memory limit is reached.
	VerdictBusy
)

// Attempt identifies one attempt to run a request with an idempotency key.
type Attempt struct {
	Account string
	Key     string
	// ID is unique to the attempt.
	ID string
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64
	// Retry reports whether the caller has sent the request before.
	Retry bool
}

// Result is the outcome of a finished attempt.
type Result struct {
	// Known reports whether the whole response is stored.
	Known  bool
	Status int
	Header map[string][]string
	Body   []byte
}

// Record is what a holder stores about an attempt. Result is set once Ended is true.
type Record struct {
	Attempt
	Began time.Time
	Ended bool
	Result
}

func (r *Record) size() int { return recordOverhead + len(r.Key) + len(r.Body) }
