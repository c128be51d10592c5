package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
	"github.com/jacinthproxy/jacinthproxy/pkg/recorder"
)

// quorumRecorder records the attempts of requests with an idempotency key at the VMs that hold the key's records.
type quorumRecorder struct{ server *Server }

// holderReply is the reply of one holder to a request to begin an attempt.
type holderReply struct {
	verdict recorder.Verdict
	result  recorder.Result
}

// Begin records an attempt at all holders in parallel and waits for a quorum of VerdictNew. Without one, it
// cancels the attempt at all holders and returns the most informative verdict.
func (q quorumRecorder) Begin(ctx context.Context, a recorder.Attempt) (recorder.Verdict, recorder.Result) {
	holders, version := q.server.recorder.Holders(a.Account, a.Key)
	if len(holders) == 0 {
		return recorder.VerdictBusy, recorder.Result{}
	}
	answers := make(chan holderReply, len(holders))
	for _, h := range holders {
		go func() {
			v, res, err := q.begin(ctx, h, a, version)
			if err != nil {
				v = recorder.VerdictBusy
			}
			answers <- holderReply{v, res}
		}()
	}
	v := awaitQuorum(answers, len(holders))
	if v.verdict != recorder.VerdictNew {
		q.finish(holders, a, true, recorder.Result{})
	}
	return v.verdict, v.result
}

// awaitQuorum returns VerdictNew as soon as a quorum of the n holders gave it. Otherwise it reads all replies and
// returns the one that says most about an earlier attempt.
func awaitQuorum(answers <-chan holderReply, n int) holderReply {
	newCount, best := 0, holderReply{verdict: recorder.VerdictBusy}
	for range n {
		switch v := <-answers; {
		case v.verdict == recorder.VerdictNew:
			if newCount++; newCount >= recorder.Quorum(n) {
				return v
			}
		case precedence(v) > precedence(best):
			best = v
		}
	}
	return best
}

// precedence orders the verdicts by how much they say about an earlier attempt; more is higher.
func precedence(v holderReply) int {
	switch {
	case v.verdict == recorder.VerdictDone && v.result.Known:
		return 4
	case v.verdict == recorder.VerdictDone, v.verdict == recorder.VerdictMismatch:
		return 3
	case v.verdict == recorder.VerdictRunning:
		return 2
	case v.verdict == recorder.VerdictUnsure:
		return 1
	}
	return 0
}

// begin records an attempt at one holder, which may be this VM. The map version is the one that the holder was
// chosen by.
func (q quorumRecorder) begin(ctx context.Context, to placer.VM, a recorder.Attempt, version uint64) (recorder.Verdict, recorder.Result, error) {
	s := q.server
	if to.Same(s.self) {
		v, res := s.beginRecord(a, version)
		return v, res, nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	rep, err := s.messenger.Call(ctx, to.Address, &wire.Request{Body: &wire.Request_Begin{
		Begin: &wire.Begin{Attempt: toAttempt(a), MapVersion: version},
	}})
	if err != nil {
		return 0, recorder.Result{}, err
	}
	v := rep.GetVerdict()
	return recorder.Verdict(v.GetVerdict()), fromResult(v.GetResult()), nil
}

// beginRecord records an attempt at this VM. While the VM is out of contact it returns VerdictBusy.
func (s *Server) beginRecord(a recorder.Attempt, version uint64) (recorder.Verdict, recorder.Result) {
	now := s.clock.Now()
	if !s.witness.InContact(now) {
		return recorder.VerdictBusy, recorder.Result{}
	}
	return s.recorder.Begin(now, a, version)
}

// Finish records the result of an attempt at all holders. A canceled attempt is removed before Finish returns, so
// that the caller can retry at once; otherwise Finish returns at once and the holders are updated in the background.
func (q quorumRecorder) Finish(a recorder.Attempt, canceled bool, res recorder.Result) {
	holders, _ := q.server.recorder.Holders(a.Account, a.Key)
	if canceled {
		q.finish(holders, a, true, res)
		return
	}
	q.server.finishing.Add(1)
	q.server.tasks.Go(func() {
		defer q.server.finishing.Add(-1)
		q.finish(holders, a, false, res)
	})
}

// finish sends the end of an attempt to all holders in parallel and returns when all replied or their time is over. A
// cancellation is sent once, since the caller waits for it. A result is sent until it arrives: without it the holders would
// take the attempt for one that still runs.
func (q quorumRecorder) finish(holders []placer.VM, a recorder.Attempt, canceled bool, res recorder.Result) {
	s := q.server
	var wg sync.WaitGroup
	for _, h := range holders {
		if h.Same(s.self) {
			s.finishRecord(a, canceled, res)
			continue
		}
		wg.Go(func() {
			err := q.sendFinish(h, a, canceled, res)
			for delay := finishRetryDelay; err != nil && !canceled && q.holds(h, a) && delay < maxFinishRetryDelay; delay *= 2 {
				s.sleep(s.running, delay)
				err = q.sendFinish(h, a, canceled, res)
			}
			if err != nil {
				s.logger.Warn("the end of an attempt is not recorded at a holder", zap.Stringer("holder", h.Address), zap.String("account", a.Account),
					zap.String("attempt", a.ID), zap.Bool("canceled", canceled), zap.Error(err))
			}
		})
	}
	wg.Wait()
}

// sendFinish sends the end of an attempt to one holder.
func (q quorumRecorder) sendFinish(to placer.VM, a recorder.Attempt, canceled bool, res recorder.Result) error {
	ctx, cancel := context.WithTimeout(q.server.running, recordTimeout)
	defer cancel()
	_, err := q.server.messenger.Call(ctx, to.Address, &wire.Request{Body: &wire.Request_Finish{
		Finish: &wire.Finish{Attempt: toAttempt(a), Canceled: canceled, Result: toResult(res)},
	}})
	return err
}

// holds reports whether a VM is still a holder of an attempt's record.
func (q quorumRecorder) holds(h placer.VM, a recorder.Attempt) bool {
	holders, _ := q.server.recorder.Holders(a.Account, a.Key)
	return slices.ContainsFunc(holders, h.Same)
}

func (s *Server) finishRecord(a recorder.Attempt, canceled bool, res recorder.Result) {
	if canceled {
		s.recorder.Cancel(a)
		return
	}
	s.recorder.Finish(a, res)
}

func toAttempt(a recorder.Attempt) *wire.Attempt {
	return &wire.Attempt{Account: a.Account, Key: a.Key, Id: a.ID, Fingerprint: a.Fingerprint, Retry: a.Retry}
}

func fromAttempt(m *wire.Attempt) recorder.Attempt {
	return recorder.Attempt{
		Account: m.GetAccount(), Key: m.GetKey(), ID: m.GetId(), Fingerprint: m.GetFingerprint(), Retry: m.GetRetry(),
	}
}

func toResult(r recorder.Result) *wire.Result {
	return &wire.Result{Known: r.Known, Status: uint32(r.Status), Headers: messenger.ToHeaders(r.Header), Body: r.Body}
}

func fromResult(m *wire.Result) recorder.Result {
	return recorder.Result{
		Known: m.GetKnown(), Status: int(m.GetStatus()), Header: messenger.FromHeaders(m.GetHeaders()), Body: m.GetBody(),
	}
}

func toRecords(c recorder.Copy) *wire.Records {
	m := &wire.Records{ReachNs: int64(c.CompleteFor)}
	for i, r := range c.Records {
		m.Records = append(m.Records, &wire.Record{
			Attempt: toAttempt(r.Attempt), AgeNs: int64(c.Ages[i]), Ended: r.Ended, Result: toResult(r.Result),
		})
	}
	return m
}

func fromRecords(m *wire.Records) recorder.Copy {
	c := recorder.Copy{CompleteFor: time.Duration(m.GetReachNs())}
	for _, r := range m.GetRecords() {
		c.Records = append(c.Records, recorder.Record{
			Attempt: fromAttempt(r.GetAttempt()), Ended: r.GetEnded(), Result: fromResult(r.GetResult()),
		})
		c.Ages = append(c.Ages, time.Duration(r.GetAgeNs()))
	}
	return c
}
