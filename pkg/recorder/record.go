package recorder

import "time"

// Verdict is a holder's answer to the begin of an attempt.
type Verdict int

// The verdicts of a holder.
const (
	// VerdictNew means that the attempt is recorded and no other is known.
	VerdictNew Verdict = iota
	// VerdictRunning means that another attempt began and has not ended, or its end was lost.
	VerdictRunning
	// VerdictDone means that another attempt ended; its result is given.
	VerdictDone
	// VerdictMismatch means that the key was used for a different request.
	VerdictMismatch
	// VerdictUnsure means that the attempt says it is a retry and the records do not reach back to the first.
	VerdictUnsure
	// VerdictBusy means that the holder cannot record now: it lacks the records or the room.
	VerdictBusy
)

// Attempt names one attempt to run a request with an idempotency key.
type Attempt struct {
	Account string
	Key     string
	// ID is unique to the attempt.
	ID string
	// Fingerprint identifies the request's content.
	Fingerprint uint64
	// Retry says that the caller sent the request before.
	Retry bool
}

// Result is how an attempt ended.
type Result struct {
	// Known says that the whole answer is kept.
	Known  bool
	Status int
	Header map[string][]string
	Body   []byte
}

// Record is what a holder keeps of an attempt.
type Record struct {
	Attempt
	Began time.Time
	Ended bool
	Result
}

func (r *Record) size() int { return recordBytes + len(r.Key) + len(r.Body) }
