package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

const (
	// pausedAt is when the owner pauses, noticed how long into the pause the others take another owner, and returned how long
	// after it they take the first one again.
	pausedAt = 12 * time.Second
	noticed  = 1500 * time.Millisecond
	returned = 500 * time.Millisecond
	// callTimeout is how long a VM waits for an owner, and suspected how long it asks none that did not answer.
	callTimeout = 250 * time.Millisecond
	suspected   = time.Second
	modelStep   = 10 * time.Millisecond
	// unowned is the part of the rate that all VMs together admit beyond their loans, as VMs that reach the fleet do.
	unowned = 0.05
)

// ownerPause is a fleet whose owner of an account's rate pauses while messages are late and lost.
type ownerPause struct {
	vms          int
	limit        limiter.Limit
	length       time.Duration
	calm, hot    float64
	hotAt        time.Duration
	loss         float64
	maxDelay     time.Duration
	random       *rand.Rand
	at           time.Duration
	first, other *limiter.WindowLimiter
	borrowers    []*limiter.Borrower
	suspectUntil []time.Duration
	events       map[time.Duration][]func()
	waiting      []func()
	admitted     []time.Duration
}

func (p *ownerPause) now() time.Time { return time.Unix(1_700_000_000, 0).Add(p.at) }
func (p *ownerPause) paused() bool   { return p.at >= pausedAt && p.at < pausedAt+p.length }
func (p *ownerPause) reserve() limiter.Tokens {
	return 0.055*(p.limit.Refill(window)+p.limit.Burst) + 10
}

// after runs f after d, in whole steps.
func (p *ownerPause) after(d time.Duration, f func()) {
	at := p.at + max(modelStep, d.Truncate(modelStep))
	p.events[at] = append(p.events[at], f)
}

func (p *ownerPause) delay() time.Duration {
	return time.Duration(p.random.Int64N(int64(p.maxDelay) + 1))
}
func (p *ownerPause) lost() bool { return p.random.Float64() < p.loss }

// ask sends a VM's question to the owner that it sees, and decides without an answer when the call times out.
func (p *ownerPause) ask(vm int) {
	b := p.borrowers[vm]
	answered := false
	giveUp := func() {
		if !answered {
			p.suspectUntil[vm] = p.at + suspected
			p.decideAlone(vm)
		}
		answered = true
	}
	if p.at < p.suspectUntil[vm] {
		p.decideAlone(vm)
		return
	}
	askedAt, o := p.now(), p.first
	if p.other != nil && p.at < pausedAt+p.length+returned {
		o = p.other
	}
	q := b.Ask(p.now())
	handle := func() {
		n := o.Take(p.now(), 1)
		bound := o.Lend(p.now(), vmID(vm), q, p.reserve())
		if p.lost() {
			return
		}
		p.after(p.delay(), func() {
			if answered {
				return
			}
			answered = true
			b.Answered(p.now(), askedAt, q.Number, limiter.Tokens(n), bound)
			if n > 0 {
				p.admitted = append(p.admitted, p.at)
			}
		})
	}
	p.after(callTimeout, giveUp)
	if p.lost() {
		return
	}
	p.after(p.delay(), func() {
		if o == p.first && p.paused() {
			p.waiting = append(p.waiting, handle)
			return
		}
		handle()
	})
}

func (p *ownerPause) decideAlone(vm int) {
	if ok, _ := p.borrowers[vm].Admit(p.now(), unowned*p.limit.Rate/float64(p.vms), noticed); ok {
		p.admitted = append(p.admitted, p.at)
	}
}

func vmID(i int) placer.VM {
	return placer.VM{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1), Incarnation: 1}
}

// play returns the most requests that were admitted in a window.
func (p *ownerPause) play() int {
	p.first = limiter.NewWindowLimiter(p.now(), window, p.limit, p.limit.Burst)
	p.events = map[time.Duration][]func(){}
	p.suspectUntil = make([]time.Duration, p.vms)
	for range p.vms {
		p.borrowers = append(p.borrowers, limiter.NewBorrower(p.now(), window))
	}
	due := 0.0
	for ; p.at < pausedAt+p.length+7*time.Second; p.at += modelStep {
		p.changeOwner()
		for _, f := range p.events[p.at] {
			f()
		}
		delete(p.events, p.at)
		demand := p.calm
		if p.at >= p.hotAt {
			demand = p.hot
		}
		for due += demand * p.limit.Rate * modelStep.Seconds(); due >= 1; due-- {
			p.ask(p.random.IntN(p.vms))
		}
	}
	most, first := 0, 0
	for i, at := range p.admitted {
		for at-p.admitted[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// changeOwner lets another VM own the rate while the first one is taken for lost, and report what it granted.
func (p *ownerPause) changeOwner() {
	end := pausedAt + p.length
	if p.length > noticed && p.at == pausedAt+noticed {
		p.other = limiter.NewWindowLimiter(p.now(), window, p.limit, limiter.Tokens(3+0.1*p.limit.Rate))
	}
	if p.at == end {
		if p.other != nil {
			p.first.SetShare(time.Unix(1_700_000_000, 0).Add(pausedAt), 0)
			p.first.SetShare(p.now(), 1)
		}
		for _, f := range p.waiting {
			f()
		}
		p.waiting = nil
	}
	if p.other != nil && p.at == end+returned+100*time.Millisecond {
		counts, slot := p.other.Granted(p.now())
		p.first.Report(p.now(), placer.VM{Incarnation: 2}, counts, slot)
	}
}

func (p *ownerPause) allowed() float64 {
	return 1.1*float64(p.limit.Refill(window)+p.limit.Burst) + 20
}

// What VMs admit while the owner pauses must not add to what it grants before and after.
func TestRateHoldsOverAnyPauseOfItsOwner(t *testing.T) {
	for _, vms := range []int{3, 8, 44, 300, 1000} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				rate := rapid.Float64Range(5, 200).Draw(t, "rate")
				p := ownerPause{
					vms: vms, limit: limiter.Limit{Rate: rate, Burst: limiter.Tokens(rate)},
					length:   time.Duration(rapid.IntRange(10, 500).Draw(t, "pause")) * modelStep,
					calm:     rapid.Float64Range(0.1, 1).Draw(t, "calm"),
					hot:      rapid.SampledFrom([]float64{0.5, 1, 1.5, 4, 7.5}).Draw(t, "hot"),
					hotAt:    time.Duration(rapid.IntRange(500, 1700).Draw(t, "hotAt")) * modelStep,
					loss:     rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss"),
					maxDelay: time.Duration(rapid.IntRange(0, 300).Draw(t, "delay")) * time.Millisecond,
					random:   rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))),
				}
				require.LessOrEqual(t, float64(p.play()), p.allowed())
			})
		})
	}
}

// calmPause is a pause of a fleet whose account keeps to half of its rate.
func calmPause(vms int, length time.Duration) *ownerPause {
	return &ownerPause{
		vms: vms, limit: limiter.Limit{Rate: 43, Burst: 43}, length: length, calm: 0.5, hot: 0.5, hotAt: time.Hour, maxDelay: 4 * time.Millisecond,
		random: rand.New(rand.NewPCG(1, uint64(vms))),
	}
}

// Loans must not refuse an account within its rate after a pause, and serve a third of its requests meanwhile.
func TestAccountWithinItsRateIsServedOverAPause(t *testing.T) {
	for _, vms := range []int{3, 8, 44} {
		p := calmPause(vms, 1400*time.Millisecond)
		p.play()
		during, after := 0, 0
		for _, at := range p.admitted {
			switch {
			case at >= pausedAt+callTimeout && at < pausedAt+p.length:
				during++
			case at >= pausedAt+p.length+suspected && at < pausedAt+p.length+6*time.Second:
				after++
			}
		}
		require.GreaterOrEqual(t, float64(during), 0.33*0.5*43*(p.length-callTimeout).Seconds(), "%d VMs", vms)
		require.GreaterOrEqual(t, float64(after), 0.98*0.5*43*5, "%d VMs", vms)
	}
}

// A message that was sent before a VM used its loan and arrives after must not free the loan.
func TestLateMessageFreesNoLoan(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := limiter.NewWindowLimiter(now, window, limiter.Limit{Rate: 1, Burst: 1}, 1)
	now = now.Add(10 * time.Second)
	require.Equal(t, 1, w.Take(now, 6), "the bucket holds one")
	lend := func(vm int, q limiter.Question) int {
		return int(w.Lend(now, vmID(vm), q, 5-limiter.Tokens(0.25*5)))
	}
	require.Equal(t, 5, lend(1, limiter.Question{Number: 1, Want: 9}))
	require.Equal(t, 5, lend(1, limiter.Question{Number: 2, Want: 9}), "the same loan, not a further one")
	require.Zero(t, lend(2, limiter.Question{Number: 1, Want: 1}))
	require.Equal(t, 2, lend(1, limiter.Question{Number: 3, Want: 2}))
	require.Zero(t, lend(2, limiter.Question{Number: 2, Want: 1}), "the VM may not have got the answer")
	require.Equal(t, 2, lend(1, limiter.Question{Number: 4, Used: 3, Want: 2}))
	require.Equal(t, 3, lend(2, limiter.Question{Number: 3, Want: 9}))
}

// The next owner must learn from the one before what VMs granted alone.
func TestReportOfAnOwnerHasWhatVMsGrantedAlone(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := limiter.NewWindowLimiter(now, window, limiter.Limit{Rate: 20, Burst: 20}, 20)
	now = now.Add(10 * time.Second)
	require.EqualValues(t, 9, w.Lend(now, vmID(1), limiter.Question{Number: 1, Want: 9}, 9))
	require.False(t, w.HasGranted(now))
	w.Lend(now, vmID(1), limiter.Question{Number: 2, Used: 1, Alone: 7, Want: 9}, 9)
	require.True(t, w.HasGranted(now))
	counts, _ := w.Granted(now)
	require.EqualValues(t, 7, counts[0])
}

// An owner must count what VMs granted alone before it owned the rate, once.
func TestOwnerCountsWhatVMsGrantedAloneBefore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := limiter.NewWindowLimiter(now, window, limiter.Limit{Rate: 20, Burst: 20}, 20)
	now = now.Add(10 * time.Second)
	for n := range 3 {
		w.Lend(now, vmID(1), limiter.Question{Number: uint64(n + 1), Alone: 20, Recent: 7, Want: 9}, 0)
	}
	w.Lend(now, vmID(1), limiter.Question{Number: 4, Alone: 22, Recent: 9, Want: 9}, 0)
	counts, _ := w.Granted(now)
	require.EqualValues(t, 9, counts[0])
}

// Both sides of a cut together must lend no more than one owner of the whole fleet.
func TestOwnerThatReachesAPartOfTheFleetLendsItsPart(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	lent := uint64(0)
	for _, share := range []float64{0.25, 0.75} {
		w := limiter.NewWindowLimiter(now, window, limiter.Limit{Rate: 16, Burst: 16}, 16)
		w.SetShare(now, share)
		lent += w.Lend(now.Add(10*time.Second), vmID(1), limiter.Question{Number: 1, Want: 999}, 40)
	}
	require.EqualValues(t, 40+96/4, lent)
}

// What a VM granted alone must count for a window, whether it reports it or not.
func TestUsedLoansCountForAWindow(t *testing.T) {
	for _, reported := range []bool{false, true} {
		now := time.Unix(1_700_000_000, 0)
		w := limiter.NewWindowLimiter(now, window, limiter.Limit{Rate: 20, Burst: 20}, 20)
		now = now.Add(10 * time.Second)
		require.EqualValues(t, 30, w.Lend(now, vmID(1), limiter.Question{Number: 1, Want: 99}, 0), "a quarter of the window")
		lentUntil := now.Add(10 * time.Second)
		if reported {
			now = now.Add(time.Second)
			w.Lend(now, vmID(1), limiter.Question{Number: 2, Used: 1, Alone: 30}, 0)
			lentUntil = now.Add(window)
		}
		granted := 0
		for ; now.Before(lentUntil); now = now.Add(modelStep) {
			n := w.Take(now, 5)
			if now.Add(window).After(lentUntil) {
				granted += n
			}
		}
		require.LessOrEqual(t, granted, 120-30)
	}
}

// The next owner is known soon: a caller must not be told to stay away until this VM could admit one without any.
func TestRefusalWithoutOwnerLastsNoLongerThanTheNextOwnerTakes(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, perSecond := range []float64{0, 0.02, 10} {
		ok, retryAfter := limiter.NewBorrower(now, 5*time.Second).Admit(now, perSecond, time.Second)
		require.False(t, ok)
		require.Positive(t, retryAfter)
		require.LessOrEqual(t, retryAfter, noticed, perSecond)
	}
}
