package receiver

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// Explainer says what the Admitter and the Picker would decide; it changes nothing.
type Explainer interface {
	// ExplainRate returns what is known here of the rate of an account, which may be nil.
	ExplainRate(a *router.Account) relayer.RateState
	// Explain returns what would be decided for the first send of a request. Account may be nil.
	Explain(service string, level int, account *router.Account, r balancer.Request) picker.Explanation
}

// Question describes a request to explain.
type Question struct {
	Host, Path, Method, Key string
}

// Refusal is this VM's own response to a request. The delay in Retry-After is drawn from MinRetryAfter to MaxRetryAfter; both
// are zero if there is none.
type Refusal struct {
	Reason        Reason        `json:"reason"`
	Status        int           `json:"status"`
	MinRetryAfter time.Duration `json:"minRetryAfterNs"`
	MaxRetryAfter time.Duration `json:"maxRetryAfterNs"`
	Detail        string        `json:"detail"`
}

// Explanation says what this VM would do with a request.
type Explanation struct {
	Version          int64         `json:"version"`
	ConfigurationAge time.Duration `json:"configurationAgeNs"`
	Method           string        `json:"method"`
	// Refusal is nil unless the request would be refused whichever service takes it.
	Refusal *Refusal `json:"refusal"`
	// Route is nil if none matches.
	Route *ExplainedRoute `json:"route"`
	// Account is the name of the client account; empty without one. Level is the level of urgency.
	Account string             `json:"account"`
	Level   int                `json:"level"`
	Rate    *relayer.RateState `json:"rate"`
	// StaleView says that the request would wait for a later view of the instances, and be refused if none comes.
	StaleView bool               `json:"staleView"`
	Services  []ExplainedService `json:"services"`
}

// ExplainedRoute is a route that takes a request.
type ExplainedRoute struct {
	Name       string        `json:"name"`
	Host       string        `json:"host"`
	Prefix     string        `json:"prefix"`
	Idempotent bool          `json:"idempotent"`
	Attempts   int           `json:"attempts"`
	NeedsKey   bool          `json:"needsKey"`
	Timeout    time.Duration `json:"timeoutNs"`
	Objective  time.Duration `json:"objectiveNs"`
	// Shorter are the names of the other routes that match.
	Shorter []string `json:"shorter"`
}

// ExplainedService is a service that a request of the route may go to.
type ExplainedService struct {
	Service string `json:"service"`
	// Share is the share of the route's requests that go to the service.
	Share float64 `json:"share"`
	// LevelShare is the share of the requests of the level that is let in now, and AccountShare that of the account's.
	LevelShare   float64 `json:"levelShare"`
	AccountShare float64 `json:"accountShare"`
	// NoRoom is the response to those that are not; nil if all are let in.
	NoRoom *Refusal `json:"noRoom"`
	// NoInstance is the response to a request that finds no instance; nil if there is always one, or if it waits for one for
	// up to LimitWait.
	NoInstance  *Refusal      `json:"noInstance"`
	LimitWait   time.Duration `json:"limitWaitNs"`
	RetriesLeft float64       `json:"retriesLeft"`
	balancer.Explanation
}

// Explain returns what this VM would do with a request of a caller, without a body, that arrived now. It sends nothing and
// changes nothing.
func (r *Receiver) Explain(ctx context.Context, e Explainer, q Question) (Explanation, error) {
	u, err := url.ParseRequestURI(q.Path)
	if err != nil || u.Host != "" || q.Host == "" {
		return Explanation{}, errors.New("a host and a path that begins with a slash are needed")
	}
	req := (&http.Request{Method: q.Method, URL: u, Host: q.Host, RequestURI: q.Path, Header: http.Header{}}).WithContext(ctx)
	req.Header.Set(r.HeaderNames.Key, q.Key)
	x := &exchange{Receiver: r, req: req, arrivedAt: r.Clock.Now()}
	table, res, ok := x.identify()
	a := Explanation{Version: x.configurationVersion, ConfigurationAge: x.configurationAge, Method: q.Method}
	if x.route != nil {
		a.Route = explainRoute(table, x)
	}
	if !ok {
		a.Refusal = refusal(res, res)
		return a, nil
	}
	if x.account != nil {
		a.Account = x.account.Name
	}
	x.level = aggregator.Level(x.route.EffectivePriority(x.account))
	a.Level = x.level
	rate := e.ExplainRate(x.account)
	a.Rate = &rate
	if rate.Refused {
		res := overRate(rate.RetryAfter)
		a.Refusal = refusal(res, res)
	}
	a.StaleView = !r.Tracker.AwaitView(ctx, time.Duration(maxViewFraction*float64(r.DrainTimeout)), 0)
	sum := 0.0
	for _, s := range x.route.Services {
		sum += s.Weight
	}
	for _, s := range x.route.Services {
		if s.Weight <= 0 && len(x.route.Services) > 1 {
			continue
		}
		x.service = s.Service
		v := x.explainService(e)
		if v.Share = 1; len(x.route.Services) > 1 {
			v.Share = s.Weight / sum
		}
		a.Services = append(a.Services, v)
	}
	if len(a.Services) == 1 && a.Refusal == nil && a.Services[0].None >= 1 {
		a.Refusal = a.Services[0].NoInstance
	}
	return a, nil
}

func explainRoute(t *router.Table, x *exchange) *ExplainedRoute {
	r := x.route
	e := &ExplainedRoute{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, Attempts: r.Attempts, NeedsKey: t.NeedsKey(r),
		Timeout: r.Timeout, Objective: r.Objective,
	}
	path, _, _ := strings.Cut(x.target, "?")
	for _, m := range t.Matches(x.req.Host, path) {
		if m.Name != r.Name {
			e.Shorter = append(e.Shorter, m.Name)
		}
	}
	return e
}

// explainService says what becomes of the request at its service, as far as no other VM is asked.
func (x *exchange) explainService(e Explainer) ExplainedService {
	p := e.Explain(x.service, x.level, x.account, balancer.Request{Idempotent: x.route.Idempotent})
	v := ExplainedService{
		Service: x.service, LevelShare: p.Room.Share, AccountShare: p.Room.Account, RetriesLeft: p.RetriesLeft, Explanation: p.Explanation,
	}
	if v.AccountShare < 1 {
		v.NoRoom = refusal(x.noRoom(p.Room.MinRetryAfter), x.noRoom(p.Room.MaxRetryAfter))
	}
	if v.None == 0 {
		return v
	}
	wait := max(p.NextAvailable, limitPause)
	most := x.maxLimitWait()
	switch {
	case !p.Awaited:
		res := unavailable(ReasonNoInstance, "")
		v.NoInstance = refusal(res, res)
	case wait > most:
		res := unavailable(ReasonLimited, takeNoRequest)
		res.retryAfter = max(wait, minRetryAfter)
		v.NoInstance = refusal(res, res)
		v.NoInstance.MaxRetryAfter = res.retryAfter + retryAfterJitter
	default:
		v.LimitWait = most
	}
	return v
}

// refusal returns what least and most, which differ in their Retry-After only, say to a caller. That of a request that is
// unavailable is drawn anew for each.
func refusal(least, most result) *Refusal {
	f := &Refusal{Reason: least.reason, Status: least.status, MinRetryAfter: least.retryAfter, MaxRetryAfter: most.retryAfter, Detail: least.detail}
	switch least.reason {
	case ReasonNoConfiguration, ReasonStale, ReasonNoInstance:
		f.MinRetryAfter, f.MaxRetryAfter = minRetryAfter, minRetryAfter+retryAfterJitter
	case ReasonStopping:
		f.MinRetryAfter, f.MaxRetryAfter = time.Millisecond, stopRetryJitter
	default:
	}
	return f
}
