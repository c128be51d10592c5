package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/runner"
	"github.com/jacinthproxy/jacinthproxy/pkg/balancer"
)

type explainCommand struct {
	Operators netip.AddrPort `required:"" help:"Address of the VM's operators listener."`
	Host      string         `required:"" help:"Host of the request."`
	Path      string         `required:"" help:"Path of the request; a query is ignored."`
	Method    string         `default:"GET" help:"Method of the request."`
	Key       string         `env:"JACINTHPROXY_KEY" help:"Key of the request. Other users of this machine see the command line; the variable is not seen."`
	Domain    string         `help:"Failure domain of the caller, to show which VMs the directory gives it."`
	JSON      bool           `name:"json" help:"Print JSON."`
}

// errRefused is returned for a request that the VM would refuse.
var errRefused = errors.New("the request would be refused")

// maxExplanation bounds the response of a VM, in bytes.
const maxExplanation = 64 << 20

func (c explainCommand) Run() error {
	b, err := c.fetch()
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	return c.print(os.Stdout, b)
}

// fetch asks the VM. Its errors do not have the URL, as that has the key.
func (c explainCommand) fetch() ([]byte, error) {
	client := &http.Client{
		Timeout:       dumpTimeout,
		Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: dumpTimeout}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	v := url.Values{"host": {c.Host}, "path": {c.Path}, "method": {c.Method}, "key": {c.Key}, "domain": {c.Domain}}
	rep, err := client.Get("http://" + c.Operators.String() + runner.PathExplain + "?" + v.Encode())
	var u *url.Error
	if errors.As(err, &u) {
		err = u.Err
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = rep.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(rep.Body, maxExplanation))
	if err != nil {
		return nil, err
	}
	if rep.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s returned status %s: %s", c.Operators, rep.Status, strings.TrimSpace(string(b)))
	}
	return b, nil
}

// print writes a VM's explanation, and returns errRefused if the request would be refused.
func (c explainCommand) print(w io.Writer, answer []byte) error {
	var x runner.Explanation
	if err := json.Unmarshal(answer, &x); err != nil {
		return errors.Wrap(err, "explain")
	}
	text := string(answer)
	if !c.JSON {
		text = explanationText(x)
	}
	if _, err := io.WriteString(w, strings.TrimSuffix(text, "\n")+"\n"); err != nil {
		return errors.Wrap(err, "write the explanation")
	}
	if x.Refusal != nil {
		return errors.Wrap(errRefused, refusalText(x.Refusal))
	}
	return nil
}

func explanationText(x runner.Explanation) string {
	var out strings.Builder
	fmt.Fprintf(&out, "vm        %s in %s, version %d of the configuration, %v old\n", x.VM, x.Domain, x.Version, x.ConfigurationAge.Round(time.Millisecond))
	if x.CallerDomain != "" {
		fmt.Fprintf(&out, "callers   of %s get the VMs %s; instances are chosen from the domain of the VM\n", x.CallerDomain, strings.Join(x.Addresses, ", "))
	}
	if r := x.Route; r != nil {
		fmt.Fprintf(&out, "route     %s, host %s, prefix %s\n", r.Name, r.Host, r.Prefix)
		if len(r.Shorter) > 0 {
			fmt.Fprintf(&out, "because   its prefix is the longest that matches; also %s\n", strings.Join(r.Shorter, ", "))
		}
		runs := "once at most"
		if r.Idempotent {
			runs = fmt.Sprintf("more than once, at up to %d instances", r.Attempts)
		}
		fmt.Fprintf(&out, "method    %s; routes do not depend on it\nruns      %s; timeout %v, objective %v\n", x.Method, runs, r.Timeout, r.Objective)
	}
	if x.Rate != nil {
		account := x.Account
		if account == "" {
			account = "none"
		}
		fmt.Fprintf(&out, "account   %s, level %d\nrate      %s\n", account, x.Level, rateText(*x.Rate))
	}
	if x.StaleView {
		out.WriteString("view      of the instances is old: the request waits for another, and is refused (503 stale) if none comes\n")
	}
	if x.Refusal != nil {
		fmt.Fprintf(&out, "refused   %s\n", refusalText(x.Refusal))
	}
	for _, s := range x.Services {
		writeService(&out, s)
	}
	return out.String()
}

func rateText(r relayer.RateState) string {
	if !r.Limited {
		return "not limited"
	}
	limit := fmt.Sprintf("%g/s, burst %d; ", r.Rate, r.Burst)
	if !r.Decides {
		return limit + "owner is VM " + r.Owner + ", which was not asked: ask it"
	}
	who := "this VM is the owner"
	if r.WithoutOwner {
		who = "this VM decides without the owner " + r.Owner
	}
	switch {
	case r.HasToken && r.WithoutOwner:
		return limit + who + "; a token now"
	case r.HasToken:
		return limit + fmt.Sprintf("%s; a token now, %d in all", who, r.Tokens)
	case r.Refused:
		return limit + fmt.Sprintf("%s; no token for %v", who, r.RetryAfter)
	}
	return limit + fmt.Sprintf("%s; waits %v for a token", who, r.RetryAfter)
}

func refusalText(r *receiver.Refusal) string {
	s := fmt.Sprintf("%d %s", r.Status, r.Reason)
	switch {
	case r.MaxRetryAfter > r.MinRetryAfter:
		s += fmt.Sprintf(", Retry-After %.2f s to %.2f s", r.MinRetryAfter.Seconds(), r.MaxRetryAfter.Seconds())
	case r.MaxRetryAfter > 0:
		s += fmt.Sprintf(", Retry-After %.2f s", r.MaxRetryAfter.Seconds())
	}
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	return s
}

func writeService(out *strings.Builder, s receiver.ExplainedService) {
	fmt.Fprintf(out, "service   %s, %.0f%% of the route's requests\n", s.Service, 100*s.Share)
	fmt.Fprintf(out, "room      %.0f%% of the level's requests are let in, %.0f%% of the account's\n", 100*s.LevelShare, 100*s.AccountShare)
	if s.NoRoom != nil {
		fmt.Fprintf(out, "          others: %s\n", refusalText(s.NoRoom))
	}
	fmt.Fprintf(out, "retries   %.1f left at this VM\n", s.RetriesLeft)
	if s.None > 0 {
		fmt.Fprintf(out, "none      %.0f%% of the choices find no instance", 100*s.None)
		if s.NoInstance != nil {
			fmt.Fprintf(out, ": %s\n", refusalText(s.NoInstance))
		} else {
			fmt.Fprintf(out, "; the request waits for one, up to %v\n", s.LimitWait)
		}
	}
	if len(s.Candidates) == 0 {
		return
	}
	if c := s.Candidates[0]; c.Picked > 0 {
		fmt.Fprintf(out, "picked    %s most often: %.1f%% of %d draws. Not all instances are compared, and up to %g is added to each cost at random\n",
			c.ID, 100*c.Picked, s.Draws, balancer.CostJitter)
	}
	out.WriteString("costs     in service times; the limits that instances stated are left to their owners, which were not asked\n")
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "  instance\tdomain\tstanding\tpicked\ttrials\tcost\twait\tcrossing\twarmup\tfull\tfailure\treuse\tload\tlimit")
	for _, c := range s.Candidates {
		_, _ = fmt.Fprintf(t, "  %s\t%s\t%s\t%.1f%%\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%s\t%d/%d\t%s\n", c.ID, c.Domain, c.Standing, 100*c.Picked, 100*c.Trial,
			c.Total, c.Cost.Wait, c.Cost.Crossing, c.Cost.Warmup, c.Cost.Full, c.Cost.Failure, reuseText(c.ReuseSaving), c.Load, c.Slots, limitText(c.Limit))
	}
	_ = t.Flush() // A strings.Builder returns no errors.
}

func reuseText(saving float64) string {
	if saving == 0 {
		return "none"
	}
	return fmt.Sprintf("-%.2f", saving)
}

func limitText(perSecond float64) string {
	if perSecond == 0 {
		return "none"
	}
	return fmt.Sprintf("%g/s", perSecond)
}
