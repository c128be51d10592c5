package server

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// sender sends requests to the dispatchers of their instance groups.
type sender struct {
	server *Server
	mu     sync.Mutex
	// demoted has the dispatchers that did not answer, with the time until which they are tried last.
	demoted map[netip.AddrPort]time.Time
	// ranked caches the dispatchers of each group in order of preference, as computed for rankedFor.
	ranked    map[string][]placer.VM
	rankedFor rankInput
}

// rankInput is the input that the order of dispatchers is computed from.
type rankInput struct {
	live     uint64
	index    *merger.Index
	stopping bool
}

// rank returns the dispatchers of a group in order of preference. The order is cached while its inputs are
// unchanged, because with many VMs computing it takes much of a request's time.
func (s *sender) rank(name string, is []merger.Instance) []placer.VM {
	b := rankInput{s.server.gossiper.Version(), s.server.follower.Index(), s.server.Stopping()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rankedFor != b {
		s.rankedFor, s.ranked = b, map[string][]placer.VM{}
	}
	vms, ok := s.ranked[name]
	if !ok {
		vms = s.server.liveView().Dispatchers(name, dispatcher.MostFrequentDomains(is))
		vms = vms[:min(len(vms), 2*maxDispatchers)]
		s.ranked[name] = vms
	}
	return vms
}

// Send sends a request to a random group of the matched service, trying its dispatchers in order until one answers.
// After a lost reply it tries another dispatcher only if the request is idempotent, and stops at maxLostReplies. The
// outcome is then unknown, unless a later dispatcher answered.
func (s *sender) Send(ctx context.Context, m merger.Match, r dispatcher.Request) dispatcher.Answer {
	groups := dispatcher.Groups(m.Service)
	r.Group = pickGroup(groups)
	vms := s.candidates(r, groups[r.Group])
	var lost []error
	last := errors.New("no dispatcher can be reached")
	reason := dispatcher.ReasonNoBackend
	for _, vm := range vms {
		a, err := s.dispatch(ctx, vm, r)
		switch {
		case err == nil && !retryable(a):
			return adjustOutcome(a, lost)
		case err == nil:
			last, reason = errors.Newf("%s", a.Detail), a.Reason
			continue
		case errors.Is(err, messenger.ErrNoReply):
			lost = append(lost, err)
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		s.demote(vm.Address)
		if len(lost) > 0 && (!r.Idempotent || len(lost) >= maxLostReplies) {
			break
		}
	}
	if len(lost) > 0 {
		return dispatcher.Answer{Outcome: dispatcher.OutcomeUnknown, Reason: lostReason(ctx), Detail: lost[0].Error()}
	}
	return dispatcher.Answer{Outcome: dispatcher.OutcomeNotRun, Reason: reason, Detail: last.Error()}
}

// lostReason returns the reason of an unknown outcome after a reply was lost.
func lostReason(ctx context.Context) dispatcher.Reason {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return dispatcher.ReasonCanceled
	case ctx.Err() != nil:
		return dispatcher.ReasonTimeout
	}
	return dispatcher.ReasonFailed
}

// adjustOutcome changes the outcome of a later dispatcher's answer from not run to unknown if an earlier dispatcher
// may have run the request.
func adjustOutcome(a dispatcher.Answer, lost []error) dispatcher.Answer {
	if len(lost) > 0 && a.Outcome == dispatcher.OutcomeNotRun {
		a.Outcome = dispatcher.OutcomeUnknown
	}
	return a
}

// retryable reports whether a dispatcher refused the request for a reason that may not hold at another one.
func retryable(a dispatcher.Answer) bool {
	return a.Outcome == dispatcher.OutcomeNotRun &&
		(a.Reason == dispatcher.ReasonNoContact || a.Reason == dispatcher.ReasonNoService)
}

// pickGroup returns the index of a random group, weighted by the number of instances.
func pickGroup(gs [][]merger.Instance) int {
	total := 0
	for _, g := range gs {
		total += len(g)
	}
	n := rand.IntN(max(1, total))
	for i, g := range gs {
		if n -= len(g); n < 0 {
			return i
		}
	}
	return 0
}

// candidates returns the dispatchers to try in order, with demoted ones last.
func (s *sender) candidates(r dispatcher.Request, is []merger.Instance) []placer.VM {
	ranked := s.rank(dispatcher.GroupName(r.Service, r.Group), is)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.server.clock.Now()
	var first, demoted []placer.VM
	for _, vm := range ranked {
		if s.demoted[vm.Address].After(now) {
			demoted = append(demoted, vm)
		} else {
			first = append(first, vm)
		}
	}
	all := append(first, demoted...)
	return all[:min(len(all), maxDispatchers)]
}

// demote makes a dispatcher one of the last to be tried for demotionTTL.
func (s *sender) demote(a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demoted[a] = s.server.clock.Now().Add(demotionTTL)
}

func (s *sender) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, t := range s.demoted {
		if t.Before(now) {
			delete(s.demoted, a)
		}
	}
}

// dispatch runs a request at a dispatcher, which may be this VM. The caller of dispatch closes the answer's Rest.
func (s *sender) dispatch(ctx context.Context, to placer.VM, r dispatcher.Request) (dispatcher.Answer, error) {
	if to.Same(s.server.self) {
		return s.server.dispatcher.Run(ctx, r), nil
	}
	wait, cancel := context.WithDeadline(ctx, r.Deadline.Add(replyGracePeriod))
	rep, stream, err := s.server.messenger.Open(wait, to.Address, &wire.Request{Body: &wire.Request_Dispatch{
		Dispatch: toDispatch(r, r.Deadline.Sub(s.server.clock.Now())),
	}})
	cancel()
	if err != nil {
		return dispatcher.Answer{}, err
	}
	a := fromAnswer(rep.GetAnswer())
	if !rep.GetAnswer().GetMore() {
		stream.Done()
		return a, nil
	}
	stop := context.AfterFunc(ctx, stream.Close)
	a.Rest = &chunkReader{stream: stream, stop: stop}
	return a, nil
}

func toDispatch(r dispatcher.Request, remaining time.Duration) *wire.Dispatch {
	return &wire.Dispatch{
		Id: r.ID, Service: r.Service, Group: uint32(r.Group), Account: r.Account, Route: r.Route, Method: r.Method,
		Target: r.Target, Headers: messenger.ToHeaders(r.Header), Body: r.Body, RemainingNs: int64(remaining),
		Idempotent: r.Idempotent, Weight: r.Weight,
	}
}

func fromDispatch(m *wire.Dispatch, now time.Time) dispatcher.Request {
	return dispatcher.Request{
		ID: m.GetId(), Service: m.GetService(), Group: int(m.GetGroup()), Account: m.GetAccount(), Route: m.GetRoute(),
		Method: m.GetMethod(), Target: m.GetTarget(), Header: messenger.FromHeaders(m.GetHeaders()), Body: m.GetBody(),
		Deadline: now.Add(time.Duration(m.GetRemainingNs())), Idempotent: m.GetIdempotent(), Weight: m.GetWeight(),
	}
}

func toAnswer(a dispatcher.Answer) *wire.Answer {
	return &wire.Answer{
		Outcome: wire.Outcome(a.Outcome), Reason: uint32(a.Reason), Detail: a.Detail, Status: uint32(a.Status),
		Headers: messenger.ToHeaders(a.Header), Body: a.Body, More: a.Rest != nil,
	}
}

func fromAnswer(m *wire.Answer) dispatcher.Answer {
	var h http.Header
	if len(m.GetHeaders()) > 0 {
		h = messenger.FromHeaders(m.GetHeaders())
	}
	return dispatcher.Answer{
		Outcome: dispatcher.Outcome(m.GetOutcome()), Reason: dispatcher.Reason(m.GetReason()), Detail: m.GetDetail(),
		Status: int(m.GetStatus()), Header: h, Body: m.GetBody(),
	}
}
