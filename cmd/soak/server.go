package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// server is one start of an emulated backend server behind a fault-injecting proxy, which has its address.
type server struct {
	*emulator.Instance
	// name is unique to the start; the ID may be that of an earlier one.
	name   string
	proxy  *proxy
	domain string
	// service is the service that the server belongs to.
	service string

	mu    sync.Mutex
	state string
	// ended is set when the process has ended, and atWork counts the requests that it works on.
	ended  bool
	atWork int
	// slots holds a value for each slot that is taken; nil if there is no bound.
	slots chan struct{}
	// startMs is the start time in Unix milliseconds, and heartbeats counts the heartbeats.
	startMs    int64
	heartbeats int64
	// warmAt is until when the server says that it warms up.
	warmAt time.Time
	// failShare, shedShare, hangShare and cutShare are the shares of requests that end with an error, are refused, get no
	// answer or get a truncated one, and copyShare of those whose answer or refusal is sent once more, late. extraDelay is
	// added to the time of each request.
	failShare float64
	shedShare float64
	hangShare float64
	cutShare  float64
	copyShare float64
	// refusalCopyShare is the share of refusals that are sent once more on their connection, before a later answer.
	refusalCopyShare float64
	// closeShare is the share of responses after which the connection is closed, as they announce.
	closeShare float64
	// earlyShare is the share of requests that are answered before their body is read.
	earlyShare float64
	extraDelay time.Duration
	// pauseShare is the share of requests that are refused with a pause, endlessShare of those that get bytes without end,
	// headCutShare of those whose answer ends in its head, and noStatusShare of those whose response has a status that is none.
	pauseShare, endlessShare, headCutShare, noStatusShare float64
	// resetShare is the share of requests whose answer is reset behind a part, and badFieldShare of those whose response has a field
	// with an invalid name.
	resetShare, badFieldShare float64
	// strayShare is the share of answers with a refusal that names no request before them.
	strayShare float64
}

// newServer returns a server that was just started.
func (f *fleet) newServer(in *emulator.Instance, p *proxy, domain, service string, seed uint64) *server {
	f.mu.Lock()
	f.starts++
	name := fmt.Sprintf("%s start %d", in.ID, f.starts)
	f.mu.Unlock()
	s := &server{Instance: in, name: name, proxy: p, domain: domain, service: service, state: "ready", startMs: time.Now().UnixMilli(), closeShare: usualCloseShare, earlyShare: usualEarlyShare}
	in.Body = answerPrefix + name
	r := rand.New(rand.NewPCG(seed, 1))
	in.SetBehavior(func(c net.Conn, req *http.Request, in *emulator.Instance) { f.serve(s, r, c, req, in) })
	in.SetCopies(func() bool { return s.chance(r, &s.refusalCopyShare) })
	in.SetCloses(func() bool { return s.chance(r, &s.closeShare) })
	in.SetEarly(func() bool { return s.chance(r, &s.earlyShare) })
	in.SetMisdirectedObserver(func(req *http.Request) {
		f.checker.recordMisdirected(s.service, req.Header.Get("Request-Id"), time.Now())
	})
	in.SetBodyObserver(func(req *http.Request, body []byte, whole bool) {
		f.checker.recordBody(req.Header.Get("Request-Id"), s.name, body, whole)
	})
	in.SetIdleTimeout(minIdleTimeout + time.Duration(r.Int64N(int64(maxIdleTimeout-minIdleTimeout))))
	return s
}

// chance returns true with the probability that one of the server's shares states.
func (s *server) chance(r *rand.Rand, share *float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Float64() < *share
}

// answerPrefix precedes the name of a server in the bodies of its answers.
const answerPrefix = "from "

// serve handles a request at a backend server with the faults that are currently injected there.
func (f *fleet) serve(s *server, r *rand.Rand, c net.Conn, req *http.Request, in *emulator.Instance) {
	defer s.finishWork()
	p := s.plan(r, req)
	id := req.Header.Get("Request-Id")
	f.checker.recordArrival(s.name, s.service, id, time.Now())
	f.checker.recordDomainArrival(s.domain, id, time.Now())
	ms, err := strconv.ParseInt(req.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		ms = math.MaxInt32 // The server would work for ever.
	}
	limit := time.Duration(ms) * time.Millisecond
	f.checker.recordDeadline(id, limit, emulator.HeadReadAt(req))
	if p.full || !awaitSlot(p.slots, limit) {
		emulator.Shed(c, req, in)
		return
	}
	if p.slots != nil {
		defer func() { <-p.slots }()
	}
	if p.pauses {
		f.checker.recordPause(s.name, id, time.Now())
	}
	if !p.refuses {
		f.checker.recordRun(id, req.Header.Get("Tenant"), req.Header.Get("X-Api-Key"), s.name, s.service, time.Now())
		f.checker.recordWork(id, s.name, time.Now())
		time.Sleep(p.work)
		closed := awaitClose(c, req)
		f.checker.recordWork(id, s.name, time.Now())
		if closed {
			return
		}
	}
	p.respond(c, req, in)
}

// plan is what a server does with a request. Respond responds after the work.
type plan struct {
	work time.Duration
	// slots are those of the server, and full is set if too many requests wait for them.
	slots           chan struct{}
	full            bool
	refuses, pauses bool
	respond         emulator.Behavior
}

// plan counts a request as being at the server, and draws what happens to it.
func (s *server) plan(r *rand.Rand, req *http.Request) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atWork++
	p := plan{slots: s.slots, full: s.slots != nil && s.atWork > cap(s.slots)+queueLength}
	x := r.Float64()
	p.work = s.extraDelay + time.Duration(r.Int64N(int64(maxWorkTime)))
	if time.Since(time.UnixMilli(s.startMs)) < slowStart {
		p.work *= slowFactor
	}
	p.pauses = r.Float64() < s.pauseShare
	p.refuses = p.pauses || x < s.shedShare
	p.respond = s.response(r, req, x, p.refuses, p.pauses)
	return p
}

// response draws how a server responds, with x uniform in [0, 1). s.mu must be held.
func (s *server) response(r *rand.Rand, req *http.Request, x float64, refuses, pauses bool) emulator.Behavior {
	part, headPart := 1.0, r.Float64()
	if r.IntN(4) == 0 {
		part = r.Float64()
	}
	late := func(b emulator.Behavior) emulator.Behavior {
		return emulator.LatePart(b, time.Duration(r.Int64N(int64(maxWorkTime))), func(n int) int { return int(part * float64(n)) })
	}
	copied := r.Float64() < s.copyShare
	broken := s.brokenResponse(r, req, headPart)
	switch x -= s.shedShare; {
	case pauses:
		return emulator.Pause(statedPause)
	case refuses:
		refusal := emulator.Refuse(refusalStatuses[r.IntN(len(refusalStatuses))])
		if copied && r.IntN(2) == 0 {
			return late(refusal)
		}
		return refusal
	case broken != nil:
		return broken
	case x < s.failShare:
		return emulator.Fail
	case x < s.failShare+s.hangShare:
		return emulator.Hang
	case x < s.failShare+s.hangShare+s.cutShare && req.Method != http.MethodHead: // The answer to HEAD is whole without a body.
		return emulator.Truncate
	case copied:
		return late(emulator.Answer)
	case r.Float64() < s.strayShare:
		return emulator.StrayRefusal(strayStatuses[r.IntN(len(strayStatuses))], emulator.Answer)
	}
	return emulator.Answer
}

// brokenResponse returns a behavior that gives no whole response, or nil; headPart is the part of a head that ends early.
func (s *server) brokenResponse(r *rand.Rand, req *http.Request, headPart float64) emulator.Behavior {
	switch {
	case r.Float64() < s.endlessShare:
		return emulator.Endless("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", "x")
	case r.Float64() < s.headCutShare:
		return emulator.CutHead(func(n int) int { return int(headPart * float64(n)) })
	case r.Float64() < s.noStatusShare:
		return emulator.WithStatus(invalidStatuses[r.IntN(len(invalidStatuses))])
	case r.Float64() < s.badFieldShare:
		return emulator.WithField(invalidFields[r.IntN(len(invalidFields))])
	case r.Float64() < s.resetShare && req.Method != http.MethodHead: // The answer to HEAD is whole without a body.
		return emulator.ResetPart
	}
	return nil
}

// awaitSlot waits until one of the slots is free, and takes it. It returns false if none is within the time limit.
func awaitSlot(slots chan struct{}, limit time.Duration) bool {
	if slots == nil {
		return true
	}
	select {
	case slots <- struct{}{}:
		return true
	case <-time.After(limit):
		return false
	}
}

func (s *server) finishWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atWork--
}

// invalidStatuses are statuses that no final response has.
var invalidStatuses = []string{"000", "001", "099", "101", "600", "999"}

// invalidFields are lines whose field names are invalid.
var invalidFields = []string{"X-Field : v", "X Field: v", "Content-Length : 1", "Transfer Encoding: chunked", "X-Field\t: v", "X-Field\x00: v"}

// refusalStatuses are the statuses with which a server refuses a request.
var refusalStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest}

// strayStatuses are the statuses of refusals that name no request.
var strayStatuses = []int{http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
