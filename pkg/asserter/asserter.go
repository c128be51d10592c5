package asserter

import (
	"fmt"
	"sync/atomic"
)

//go:generate go tool enumer -type=Rule -trimprefix=Rule -transform=title-lower -text

// Rule identifies a guarantee that the system checks at run time.
type Rule int

// The rules, one for each guarantee.
const (
	// RuleFloor requires that ejections leave a service its configured share of live instances.
	RuleFloor Rule = iota
	// RuleKey requires that a request runs for the account of its key, and that no key is forwarded.
	RuleKey
	// RuleRate requires that an account is granted at most its rate and burst.
	RuleRate
	// RuleAnswer requires that a response is complete and belongs to its request.
	RuleAnswer
	// RuleNotRun requires that a request refused as not run was never started.
	RuleNotRun
	// RuleOnce requires that a request that is not idempotent is started at most once.
	RuleOnce
	// RuleLeaving requires that a leaving backend server gets no new requests.
	RuleLeaving
	// RuleStop requires that a planned stop of a daemon aborts no request.
	RuleStop
	// RuleConfiguration requires that an accepted configuration is never replaced by an older one.
	RuleConfiguration
)

// Violation is a failed check of a rule.
type Violation struct {
	Rule Rule
	// Detail is the state that violates the rule.
	Detail string
}

// Error returns the rule's name and the state that violates it.
func (v Violation) Error() string { return fmt.Sprintf("%s violated: %s", v.Rule, v.Detail) }

// Asserter checks rules, counts the violations and calls a function for each. It is safe for
// concurrent use if the function is; a nil Asserter ignores violations.
type Asserter struct {
	report func(Violation)
	counts [RuleConfiguration + 1]atomic.Int64
}

// New returns an Asserter that calls report for each violation, on the goroutine of the check.
func New(report func(Violation)) *Asserter { return &Asserter{report: report} }

// Check reports a violation of r if ok is false. The detail is formatted only then.
func (a *Asserter) Check(ok bool, r Rule, format string, args ...any) {
	if ok || a == nil {
		return
	}
	a.counts[r].Add(1)
	a.report(Violation{Rule: r, Detail: fmt.Sprintf(format, args...)})
}

// Count returns the number of violations of r so far.
func (a *Asserter) Count(r Rule) int64 { return a.counts[r].Load() }
