package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
)

const (
	vms  = 10
	step = 10 * time.Millisecond
)

// sender is an account that sends requests of a level to all VMs in turn.
type sender struct {
	account string
	level   int
	// perSecond is the rate in the service's short time, and limit the rate that the account is allowed.
	perSecond, limit float64
}

// play is a service of a fleet of VMs: its instances have slots, queue a third more and refuse the rest. VMs learn after lag what all saw.
type play struct {
	random    *rand.Rand
	now       time.Time
	admitters []*admitter.Admitter
	collector *aggregator.Collector
	// history holds what the fleet saw, for the lag of the reports.
	history []admitter.Load
	senders []sender
	due     []float64
	// slots is the number of requests that run at once, each for serviceTime, and ends has when those that run end.
	slots int
	ends  []time.Time
	// refuses is the share of what the instances refuse though they have room.
	refuses float64
	sent    map[string]int
	served  map[string]int
	// rejected counts the requests that were not let in, and servedBy the served requests by step.
	rejected   int
	servedBy   []int
	retryAfter []time.Duration
}

const (
	lag         = 500 * time.Millisecond
	serviceTime = 200 * time.Millisecond
)

// slotsFor returns the slots for a number of requests per second.
func slotsFor(perSecond float64) int { return int(perSecond * serviceTime.Seconds()) }

func newPlay(perSecond float64, senders ...sender) *play {
	p := &play{
		random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), collector: aggregator.NewCollector(), senders: senders,
		due: make([]float64, len(senders)), slots: slotsFor(perSecond),
	}
	for range vms {
		p.admitters = append(p.admitters, admitter.New(p.random))
	}
	p.reset()
	return p
}

// reset begins new counts.
func (p *play) reset() {
	p.sent, p.served, p.rejected, p.servedBy, p.retryAfter = map[string]int{}, map[string]int{}, 0, nil, nil
}

func (p *play) run(d time.Duration) {
	for range d / step {
		p.now = p.now.Add(step)
		for len(p.ends) > 0 && !p.ends[0].After(p.now) {
			p.ends = p.ends[1:]
		}
		before := p.total()
		var arrivals []sender
		for i, s := range p.senders {
			for p.due[i] += s.perSecond * step.Seconds() * 2 * p.random.Float64(); p.due[i] >= 1; p.due[i]-- {
				arrivals = append(arrivals, s)
			}
		}
		p.random.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
		for _, s := range arrivals {
			p.send(s)
		}
		p.servedBy = append(p.servedBy, p.total()-before)
		l := admitter.Load{Counts: p.collector.Counts(p.now)["s"], Use: float64(len(p.ends)) / float64(p.slots)}
		p.history = append(p.history, l)
		if n := len(p.history) - int(lag/step); n > 0 && len(p.history)%int(admitter.UpdateInterval/step) == 0 {
			for _, a := range p.admitters {
				a.Update(p.now, "s", p.history[n-1])
			}
		}
	}
}

func (p *play) total() (n int) {
	for _, c := range p.served {
		n += c
	}
	return n
}

func (p *play) send(s sender) {
	p.sent[s.account]++
	c := p.collector.At(p.now, "s")
	c.Offered[s.level]++
	d := p.admitters[p.random.IntN(vms)].Admit(p.now, admitter.Request{Service: "s", Level: s.level, Account: s.account, Rate: s.limit})
	if !d.Admitted {
		p.rejected++
		p.retryAfter = append(p.retryAfter, d.RetryAfter)
		return
	}
	for range 2 { // A refused request is sent once more.
		c.Sends++
		if len(p.ends) < p.slots+p.slots/3 && p.random.Float64() >= p.refuses {
			begins := p.now
			if n := len(p.ends) - p.slots; n >= 0 {
				begins = p.ends[n]
			}
			p.ends = append(p.ends, begins.Add(serviceTime))
			p.served[s.account]++
			return
		}
		c.Refused++
	}
}

// share returns how often the requests of the accounts were served.
func (p *play) share(accounts ...string) float64 {
	sent, served := 0, 0
	for _, a := range accounts {
		sent += p.sent[a]
		served += p.served[a]
	}
	return float64(served) / float64(sent)
}

func levels(perSecond ...float64) (ss []sender) {
	for l, n := range perSecond {
		ss = append(ss, sender{fmt.Sprint("level", l), l, n, 2000})
	}
	return ss
}

func TestUrgentRequestsAreServedWhileTheServiceIsFull(t *testing.T) {
	p := newPlay(1000, levels(300, 700, 1000)...)
	p.run(3 * time.Second)
	p.reset()
	p.run(5 * time.Second)
	require.Greater(t, p.share("level0"), 0.95)
	require.Greater(t, p.share("level1"), p.share("level2"))
	all := p.share("level0", "level1", "level2")
	require.Greater(t, p.share("level2"), all/4, "no kind of request is starved")
	require.Greater(t, float64(p.total()), 0.95*5*1000, "the room there is is used")
}

func TestRareUrgentRequestsAreLetInWhileTheServiceIsFull(t *testing.T) {
	p := newPlay(1000, sender{"rare", 0, 0.7, 10}, sender{"other", 2, 2000, 2000})
	p.run(3 * time.Second)
	p.reset()
	p.run(60 * time.Second)
	require.Greater(t, p.share("rare"), 0.85)
}

func TestRejectionsDoNotSwing(t *testing.T) {
	p := newPlay(1000, levels(300, 700, 1000)...)
	p.run(3 * time.Second)
	p.reset()
	p.run(10 * time.Second)
	half := int(500 * time.Millisecond / step)
	for i := 0; i+half <= len(p.servedBy); i += half {
		served := 0
		for _, n := range p.servedBy[i : i+half] {
			served += n
		}
		require.InDelta(t, 500, served, 100, "a swing by a fifth in the half second from step %d", i)
	}
}

func TestAllAreLetInWithinASecondOfRoomComingBack(t *testing.T) {
	p := newPlay(1000, levels(300, 700, 1000)...)
	p.run(5 * time.Second)
	require.Positive(t, p.rejected)
	p.slots = slotsFor(4000)
	p.run(time.Second)
	p.reset()
	p.run(2 * time.Second)
	require.Zero(t, p.rejected)
}

func TestAllAreLetInWithinASecondOfTheEndOfABurst(t *testing.T) {
	p := newPlay(1000, levels(300, 700, 1000)...)
	p.run(5 * time.Second)
	for i := range p.senders {
		p.senders[i].perSecond /= 4
	}
	p.run(time.Second)
	p.reset()
	p.run(2 * time.Second)
	require.Zero(t, p.rejected)
}

func TestNothingIsRejectedWhileInstancesHaveRoom(t *testing.T) {
	for _, refuses := range []float64{0, 0.5} { // Instances that refuse a half though they have room are not full.
		p := newPlay(4000, levels(300, 700, 1000)...)
		p.refuses = refuses
		p.run(10 * time.Second)
		require.Zero(t, p.rejected, "instances refuse %v", refuses)
	}
}

func TestAccountThatSendsMoreThanUsualDoesNotTakeTheRoomOfOthers(t *testing.T) {
	ss := []sender{{"hot", 1, 1000, 1100}}
	var usual []string
	for i := range 20 { // Together 600 a second, each at a half of its limit.
		ss = append(ss, sender{fmt.Sprint("usual", i), 1, 30, 60})
		usual = append(usual, fmt.Sprint("usual", i))
	}
	p := newPlay(1000, ss...)
	p.run(3 * time.Second)
	p.reset()
	p.run(6 * time.Second)
	require.Greater(t, p.share(usual...), p.share("hot")+0.1)
	require.Greater(t, p.share("hot"), p.share(append(usual, "hot")...)/4)
	for _, a := range usual {
		require.Greater(t, p.share(a), 0.5, a)
	}
}

func TestAccountsWithFewRequestsAreNotStarved(t *testing.T) {
	ss := []sender{{"large", 0, 1500, 2000}, {"small", 0, 2, 3}, {"unlimited", 0, 20, 0}}
	p := newPlay(1000, ss...)
	p.run(3 * time.Second)
	p.reset()
	p.run(20 * time.Second)
	all := p.share("large", "small", "unlimited")
	for _, s := range ss {
		require.Greater(t, p.share(s.account), all/4, s.account)
	}
}

func TestReturnsOfRejectedCallersAreSpread(t *testing.T) {
	p := newPlay(1000, levels(300, 700, 1000)...)
	p.run(3 * time.Second)
	p.reset()
	p.run(time.Second)
	require.NotEmpty(t, p.retryAfter)
	buckets := map[time.Duration]int{}
	for _, d := range p.retryAfter {
		require.GreaterOrEqual(t, d, 300*time.Millisecond)
		buckets[d/(200*time.Millisecond)]++
	}
	for b, n := range buckets {
		require.Less(t, float64(n), 0.25*float64(len(p.retryAfter)), "within 200 ms from %s", b*200*time.Millisecond)
	}
}
