package receiver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// stopRetryJitter bounds the Retry-After of requests that a stopping VM refuses. Other VMs can serve them at once; the time
// only spreads them.
const stopRetryJitter = 200 * time.Millisecond

// stop decides which requests may begin while the VM stops.
type stop struct {
	// began ends when the stop begins, and begin ends it.
	began context.Context
	begin context.CancelFunc
	// finish is set before begin is called.
	finish time.Time
}

func newStop() *stop {
	s := &stop{}
	s.began, s.begin = context.WithCancel(context.Background())
	return s
}

// Stop makes the receiver refuse requests, and further attempts of requests, whose deadline is later than finish. Those whose
// bodies are being read, or that wait to be sent, are refused at once. Requests at an instance go on. It must be called once.
func (r *Receiver) Stop(finish time.Time) {
	r.stop.finish = finish
	r.stop.begin()
}

// mayBegin reports whether a request with the given deadline may be sent to an instance.
func (s *stop) mayBegin(deadline time.Time) bool {
	return s.began.Err() == nil || !deadline.After(s.finish)
}

// wake returns a channel that is closed when the stop begins, or nil if it has begun.
func (s *stop) wake() <-chan struct{} {
	if s.began.Err() != nil {
		return nil
	}
	return s.began.Done()
}

// stopping refuses a request because the VM stops before the request's deadline.
func stopping() result {
	return result{
		reason: ReasonStopping, status: http.StatusServiceUnavailable, retryAfter: rand.N(stopRetryJitter) + time.Millisecond,
		detail: "this daemon stops before the request's deadline",
	}
}

// interruptRead ends reads of the request's body when the request may no longer begin. The returned function must be called
// after the last read; it reports whether reads were not interrupted.
func (x *exchange) interruptRead(rc *http.ResponseController) (done func() bool) {
	interrupted := make(chan bool, 1)
	cancel := context.AfterFunc(x.stop.began, func() {
		late := !x.stop.mayBegin(x.deadline)
		if late {
			_ = rc.SetReadDeadline(time.Unix(1, 0)) // Writers without deadlines are those of tests.
		}
		interrupted <- late
	})
	return func() bool { return cancel() || !<-interrupted }
}
