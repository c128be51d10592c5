package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Handle answers a request of a peer. The returned function, if not nil, streams the rest of a long answer with
// the function passed to it.
func (s *Server) Handle(ctx context.Context, from placer.VM, req *wire.Request) (*wire.Reply, func(func(proto.Message) error) error, error) {
	if d := req.GetDispatch(); d != nil {
		return s.handleDispatch(ctx, from, d)
	}
	rep, err := s.handle(from, req)
	return rep, nil, err
}

func (s *Server) handle(from placer.VM, req *wire.Request) (*wire.Reply, error) {
	switch b := req.GetBody().(type) {
	case *wire.Request_Heartbeat:
		return s.handleHeartbeat(from, b.Heartbeat), nil
	case *wire.Request_Ask:
		g, err := s.grant(b.Ask.GetAccount(), fromShard(b.Ask.GetShard()), limiter.Tokens(b.Ask.GetWant()))
		return &wire.Reply{Body: &wire.Reply_Grant{Grant: &wire.Grant{Tokens: float64(g.Tokens), Left: float64(g.Left)}}}, err
	case *wire.Request_GiveBack:
		s.returnTokens(b.GiveBack.GetAccount(), fromShard(b.GiveBack.GetShard()), limiter.Tokens(b.GiveBack.GetTokens()))
		return &wire.Reply{}, nil
	case *wire.Request_Release:
		return s.handleRelease(b.Release)
	case *wire.Request_Begin:
		v, res := s.beginRecord(fromAttempt(b.Begin.GetAttempt()), b.Begin.GetMapVersion())
		return &wire.Reply{Body: &wire.Reply_Verdict{Verdict: &wire.Verdict{Verdict: uint32(v), Result: toResult(res)}}}, nil
	case *wire.Request_Finish:
		s.finishRecord(fromAttempt(b.Finish.GetAttempt()), b.Finish.GetCanceled(), fromResult(b.Finish.GetResult()))
		return &wire.Reply{}, nil
	case *wire.Request_Copy:
		c, err := s.recorder.Copy(s.clock.Now(), int(b.Copy.GetPartition()), b.Copy.GetMapVersion())
		return &wire.Reply{Body: &wire.Reply_Records{Records: toRecords(c)}}, err
	case *wire.Request_Read:
		return s.handleRead(b.Read), nil
	case *wire.Request_State:
		return s.handleState()
	}
	return nil, errors.New("the message is of a kind that this daemon does not know")
}

func (s *Server) handleDispatch(ctx context.Context, from placer.VM, m *wire.Dispatch) (*wire.Reply, func(func(proto.Message) error) error, error) {
	now := s.clock.Now()
	if !s.InContact() && !from.Same(s.self) {
		return nil, nil, errNoContact
	}
	a := s.dispatcher.Run(ctx, fromDispatch(m, now))
	rep := &wire.Reply{Body: &wire.Reply_Answer{Answer: toAnswer(a)}}
	if a.Rest == nil {
		return rep, nil, nil
	}
	return rep, func(send func(proto.Message) error) error { return sendChunks(a.Rest, send) }, nil
}

func (s *Server) handleRelease(m *wire.Release) (*wire.Reply, error) {
	to, err := messenger.FromVM(m.GetTo())
	if err != nil {
		return nil, err
	}
	current := s.follower.Map()
	if current.Version < m.GetMapVersion() {
		return nil, limiter.ErrNotReleasableYet
	}
	if m.GetIndex() >= mapper.PartitionsPerShard {
		return nil, errors.Newf("there is no partition %d", m.GetIndex())
	}
	p := mapper.Partition{Shard: fromShard(m.GetShard()), Index: int(m.GetIndex())}
	h, err := s.owner.Release(s.clock.Now(), p, current, to)
	return &wire.Reply{Body: &wire.Reply_Handoff{Handoff: toHandoff(h)}}, err
}

func toHandoff(h limiter.Handoff) *wire.Handoff {
	m := &wire.Handoff{Full: h.Full, AgeNs: int64(h.Age), Empty: h.Empty, Levels: make(map[string]float64, len(h.Levels))}
	for a, l := range h.Levels {
		m.Levels[a] = float64(l)
	}
	if h.Redirect != nil {
		m.Redirect = messenger.ToVM(*h.Redirect)
	}
	return m
}

func fromHandoff(m *wire.Handoff) (limiter.Handoff, error) {
	h := limiter.Handoff{
		Full: m.GetFull(), Age: time.Duration(m.GetAgeNs()), Empty: m.GetEmpty(),
		Levels: make(map[string]limiter.Tokens, len(m.GetLevels())),
	}
	for a, l := range m.GetLevels() {
		h.Levels[a] = limiter.Tokens(l)
	}
	if m.GetRedirect() == nil {
		return h, nil
	}
	v, err := messenger.FromVM(m.GetRedirect())
	h.Redirect = &v
	return h, err
}

func (s *Server) handleRead(m *wire.Read) *wire.Reply {
	es, next, ok := s.follower.Relay(m.GetStream(), m.GetFrom())
	rs := &wire.LogRecords{Next: next, Gap: !ok}
	for _, e := range es {
		rs.Records = append(rs.Records, &wire.LogRecord{Offset: e.Offset, Data: e.Data})
	}
	return &wire.Reply{Body: &wire.Reply_LogRecords{LogRecords: rs}}
}

func (s *Server) handleState() (*wire.Reply, error) {
	if !s.follower.Ready() {
		return nil, errors.New("this daemon has no state yet")
	}
	b, err := s.follower.State().Encode()
	return &wire.Reply{Body: &wire.Reply_State{State: &wire.StateReply{State: b}}}, err
}
