package runner

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

// Paths of the operators' HTTP server. PathExplain takes host, path, method, key and the caller's failure domain as its query.
const (
	pathDump    = "/dump"
	pathMetrics = "/metrics"
	PathExplain = "/explain"
)

// Explanation is the answer to a question of what would become of a request.
type Explanation struct {
	// VM and Domain name the VM that would do so, and its failure domain.
	VM     string `json:"vm"`
	Domain string `json:"domain"`
	// CallerDomain is the failure domain of the caller, and Addresses those that the directory may give it; empty if the
	// question had none.
	CallerDomain string   `json:"callerDomain"`
	Addresses    []string `json:"addresses"`
	receiver.Explanation
}

// explainer implements receiver.Explainer.
type explainer struct {
	*relayer.Relayer
	*picker.Picker
}

// explain answers a question without any effect on the daemon.
func (r *Runner) explain(c echo.Context) error {
	v := c.QueryParams()
	q := receiver.Question{Host: v.Get("host"), Path: v.Get("path"), Method: cmp.Or(v.Get("method"), http.MethodGet), Key: v.Get("key")}
	e, err := r.receiver.Explain(c.Request().Context(), explainer{r.relayer, r.picker}, q)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	x := Explanation{VM: r.Settings.Name, Domain: r.Settings.Domain, CallerDomain: v.Get("domain"), Explanation: e}
	if x.CallerDomain != "" {
		as, _ := r.Addresses(x.CallerDomain)
		for _, a := range as {
			x.Addresses = append(x.Addresses, a.String())
		}
		slices.Sort(x.Addresses)
	}
	return c.JSONPretty(http.StatusOK, x, "  ")
}

// state is the content of a dump: what the daemon knows of the fleet and how old that is.
type state struct {
	VM               string                          `json:"vm"`
	Role             tracker.Role                    `json:"role"`
	Leads            bool                            `json:"leads"`
	Version          int64                           `json:"version"`
	ConfigurationAge time.Duration                   `json:"configurationAgeNs"`
	InstancesAge     time.Duration                   `json:"instancesAgeNs"`
	DrainedDomains   []string                        `json:"drainedDomains"`
	Members          []tracker.Member                `json:"members"`
	Instances        []tracker.Entry                 `json:"instances"`
	Judgements       map[string][]balancer.Judgement `json:"judgements"`
	RetriesLeft      map[string]float64              `json:"retriesLeft"`
	Requests         map[string]int64                `json:"requests"`
}

func (r *Runner) state() state {
	s := state{
		VM: r.Settings.Name, Role: r.relayer.Role(), Leads: r.relayer.IsLeader(), Members: r.tracker.Members(),
		Instances: r.tracker.Entries(), Judgements: r.picker.Judgements(), RetriesLeft: r.picker.RetriesLeft(),
		Requests: r.metrics.requestCounts(), DrainedDomains: r.tracker.DrainedDomains(),
	}
	s.ConfigurationAge, s.InstancesAge = r.tracker.Ages()
	if t, _ := r.tracker.Table(); t != nil {
		s.Version = t.Version
	}
	return s
}

// operatorsHandler returns the handler of the operators' HTTP server.
func (r *Runner) operatorsHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET(pathDump, func(c echo.Context) error { return c.JSONPretty(http.StatusOK, r.state(), "  ") })
	e.GET(PathExplain, r.explain)
	e.GET(pathMetrics, echo.WrapHandler(r.metrics.handler()))
	return e
}

// gauges returns the gauges of the daemon's state by metric name, without the prefix.
func (r *Runner) gauges() map[string]gauge {
	single := func(help string, read func() float64) gauge { return domainGauge(r.Settings.Domain, help, read) }
	return map[string]gauge{
		"configuration_age_seconds": single("Time since the read began that confirmed the configuration.", func() float64 {
			a, _ := r.tracker.Ages()
			return a.Seconds()
		}),
		"instances_age_seconds": single("Time since the read began that confirmed the instances.", func() float64 {
			_, a := r.tracker.Ages()
			return a.Seconds()
		}),
		"usable_instances": single("Instances that may get requests.", func() float64 { return float64(len(r.tracker.UsableInstances())) }),
		"drained_domains": single("Failure domains that the operator drained, as this VM knows.", func() float64 {
			return float64(len(r.tracker.DrainedDomains()))
		}),
		"limited_instances": {"Usable instances with a limit, by the reason: they stated one, or they warm up.", "reason", func() map[string]float64 {
			stated, warming := r.tracker.LimitCounts()
			return map[string]float64{"stated": float64(stated), "warming": float64(warming)}
		}},
		"ready_vms": single("VMs that serve callers, as this one knows.", func() float64 {
			n := 0
			for _, m := range r.tracker.Members() {
				if m.Role == tracker.RoleReady {
					n++
				}
			}
			return float64(n)
		}),
		"leads": single("Whether this VM reads the store for its failure domain.", func() float64 {
			if r.relayer.IsLeader() {
				return 1
			}
			return 0
		}),
		"instance_connections_opened": single("Connections to instances since the start.", func() float64 {
			n, _ := r.forwarder.Stats()
			return float64(n)
		}),
		"instance_connections_kept": single("Connections to instances that wait for a request.", func() float64 {
			_, n := r.forwarder.Stats()
			return float64(n)
		}),
		"refused_attempts": {"Attempts that instances refused since the start, by the connection that the refusal came on.", "connection", func() map[string]float64 {
			return r.receiver.RefusedAttempts()
		}},
		"hedges": {"Hedges since the start that were sent, won or lost, and requests without one because of what refused it.", "end", func() map[string]float64 {
			return r.receiver.HedgeCounts()
		}},
		"hedge_credit": {"Hedges that this VM may send now under the limit, by service; none without a limit.", "service", func() map[string]float64 {
			if r.hedges == nil {
				return nil
			}
			return r.hedges.Credit()
		}},
		"skipped_responses": single("Responses of instances since the start that belonged to no request in flight on their connection.", func() float64 {
			return float64(r.receiver.SkippedResponses())
		}),
		"store_reads":            {"Reads of the store since the start, by what was read and the result.", "read", r.relayer.StoreReads},
		"limit_decisions":        {"Requests since the start to instances with a limit, by the decision of the limit's owner.", "decision", r.relayer.LimitDecisions},
		"rate_decisions":         {"Requests since the start whose rate was decided, by where and how.", "decision", r.relayer.RateDecisions},
		"owned_rates":            single("Client accounts whose rate this VM holds.", r.relayer.OwnedRates),
		"service_use":            {"Share of the slots of a service in use by all VMs; above 1 while instances queue requests.", "service", r.picker.Uses},
		"service_refused_share":  {"Share of the sends of all VMs to a service that full instances refused in the last second.", "service", r.picker.RefusedShares},
		"level_let_in_share":     {"Share of the requests that is let in while a service is short of room, by service and level.", "service_level", r.picker.LevelShares},
		"level_refused_requests": {"Requests since the start that this VM refused for want of room or of a retry, by service and level.", "service_level", r.picker.RefusedRequests},
		"retry_turns":            {"Failed requests since the start that asked for a retry, by whether they got one.", "turn", r.picker.RetryTurns},
		"trials":                 {"Requests since the start that were used to try an instance, by service.", "service", r.picker.Trials},
		"unhealthy_prior":        {"Probability that an instance of which nothing recent is known is unhealthy, by service.", "service", r.picker.Priors},
		"retries_left":           {"Retries that this VM's share of the budget has, by service.", "service", r.picker.RetriesLeft},
	}
}
