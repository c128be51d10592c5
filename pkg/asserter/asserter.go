package asserter

import (
	"fmt"
	"sync/atomic"
)

//go:generate go tool enumer -type=Rule -trimprefix=Rule -transform=title-lower -text

// Rule names a guarantee that the system asserts at run time.
type Rule int

// The rules, one for each guarantee.
const (
	// RuleFloor says that ejections leave a service its configured capacity.
	RuleFloor Rule = iota
	// RuleKey says that a request runs for the account of its key and that no key is passed on.
	RuleKey
	// RuleRate says that an account gets at most its rate and burst.
	RuleRate
	// RuleAnswer says that an answer is whole and belongs to its request.
	RuleAnswer
	// RuleNotRun says that a request refused as not run was never started.
	RuleNotRun
	// RuleOnce says that a request that is not idempotent starts at most once.
	RuleOnce
	// RuleLeaving says that a leaving backend server gets no new request.
	RuleLeaving
	// RuleStop says that a planned stop cuts no request.
	RuleStop
	// RuleConfiguration says that an accepted configuration never reverts.
	RuleConfiguration
)

// Violation describes a rule that did not hold.
type Violation struct {
	Rule   Rule
	Detail string
}

// Error returns the rule's name and the state that broke it.
func (v Violation) Error() string { return fmt.Sprintf("%s violated: %s", v.Rule, v.Detail) }

// Asserter checks rules and hands each violation to a callback.
type Asserter struct {
	report func(Violation)
	counts [RuleConfiguration + 1]atomic.Int64
}

// New returns an Asserter that calls report, from the goroutine of the check, for each violation.
func New(report func(Violation)) *Asserter { return &Asserter{report: report} }

// Check reports a violation of r unless ok holds; the format is rendered only then.
func (a *Asserter) Check(ok bool, r Rule, format string, args ...any) {
	if ok || a == nil {
		return
	}
	a.counts[r].Add(1)
	a.report(Violation{Rule: r, Detail: fmt.Sprintf(format, args...)})
}

// Count returns how many violations of r were reported since the start.
func (a *Asserter) Count(r Rule) int64 { return a.counts[r].Load() }
