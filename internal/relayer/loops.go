package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// announce makes this VM known through the store, once.
func (r *Relayer) announce(ctx context.Context) {
	for pause := firstPause; ctx.Err() == nil; pause = min(2*pause, longestPause) {
		c, cancel := context.WithTimeout(ctx, readMargin)
		err := r.Source.Announce(c, tracker.Member{VM: r.Self, Role: tracker.RoleStarting, Capacity: r.Capacity, At: r.Clock.Now()})
		cancel()
		if err == nil {
			return
		}
		r.Logger.Warn("vm not announced", logger.Cause(err), zap.Duration("pause", pause))
		r.sleep(ctx, jittered(pause))
	}
}

func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// follow holds exchanges open to the leader of this VM's domain.
func (r *Relayer) follow(ctx context.Context) {
	for ctx.Err() == nil {
		l, ok := r.leader(r.Self.Domain)
		if !ok || l.Address == r.Self.Address {
			r.post()
			r.sleep(ctx, tick)
			continue
		}
		err := r.exchange(ctx, l, exchangeWait, false)
		switch {
		case errors.Is(err, errStale):
			r.pass(l.Address)
			r.sleep(ctx, tick/2)
		case err != nil:
			r.suspect(l.Address, err)
		}
	}
}

// lead exchanges with the leaders of the other domains while this VM leads, and finds the VMs of its own
// that are down.
func (r *Relayer) lead(ctx context.Context) {
	running := map[string]context.CancelFunc{}
	defer func() {
		for _, stop := range running {
			stop()
		}
	}()
	for ; ctx.Err() == nil; r.sleep(ctx, tick) {
		now := r.Clock.Now()
		leads := r.Leads()
		r.note(leads)
		domains := map[string]bool{}
		for _, m := range r.Tracker.Members() {
			if leads && m.Domain != r.Self.Domain {
				domains[m.Domain] = true
			}
		}
		for d := range domains {
			if running[d] == nil {
				c, stop := context.WithCancel(ctx)
				running[d] = stop
				go r.meetDomain(c, d)
			}
		}
		for d, stop := range running {
			if !domains[d] {
				stop()
				delete(running, d)
			}
		}
		if leads {
			r.findDown(now)
		}
		r.Tracker.Lapse()
	}
}

// note logs when this VM begins or ends to lead.
func (r *Relayer) note(leads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leads == !r.leadsSince.IsZero() {
		return
	}
	r.leadsSince = time.Time{}
	if leads {
		r.leadsSince = r.Clock.Now()
	}
	r.Logger.Info("leading", zap.Bool("leads", leads), zap.String("failureDomain", r.Self.Domain))
}

// meetDomain exchanges with the leader of another domain.
func (r *Relayer) meetDomain(ctx context.Context, domain string) {
	for ctx.Err() == nil {
		l, ok := r.leader(domain)
		if !ok {
			r.sleep(ctx, tick)
			continue
		}
		if err := r.exchange(ctx, l, leaderWait, true); err != nil && ctx.Err() == nil {
			r.suspect(l.Address, err)
			r.sleep(ctx, tick)
		}
	}
}

// findDown takes the VMs of this domain as down that were not heard for long.
func (r *Relayer) findDown(now time.Time) {
	for _, m := range r.Tracker.Members() {
		if m.Domain != r.Self.Domain || m.Address == r.Self.Address || m.Role == tracker.RoleDown || m.Role == tracker.RoleLeaving {
			continue
		}
		r.mu.Lock()
		last := r.heard[m.Address]
		if last.Before(r.leadsSince) {
			last = r.leadsSince
		}
		r.mu.Unlock()
		if m.At.After(last) {
			last = m.At
		}
		if now.Sub(last) > downAfter {
			m.Role, m.At = tracker.RoleDown, now
			r.Tracker.Meet(m)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, b := range r.boxes {
		if now.Sub(b.usedAt) > boxLife {
			delete(r.boxes, a)
			delete(r.loads, a)
		}
	}
}

// reader is one loop of reads of the store.
type reader struct {
	name string
	// reads reports whether this VM reads for others, and pace is how often it then does; zero reads again
	// at once.
	reads func() bool
	pace  time.Duration
	// age returns how old the belief is that the reads confirm; ok is false if there is none.
	age func() (age time.Duration, ok bool)
	// read reads, waiting up to wait for news.
	read func(ctx context.Context, wait time.Duration) error
	// wait is how long a leader's read waits for news.
	wait time.Duration
}

// threshold returns the age of a belief from which this VM reads the store itself, though others should.
func (r *Relayer) threshold(spread time.Duration) time.Duration {
	if r.Leads() {
		return leaderStaleAfter
	}
	return staleAfter + spread
}

// nextPause returns how long to wait after one more failed read. Where others read for this VM, they will
// hear of the store's return first, and tell it.
func nextPause(before time.Duration, mine bool) time.Duration {
	first, longest := firstPause, longestPause
	if !mine {
		first, longest = followerPause, longestFollowerPause
	}
	return min(max(2*before, first), longest)
}

// run reads while this VM reads for others, and when its beliefs grow old.
func (r *Relayer) run(ctx context.Context, d reader) {
	spread := rand.N(staleSpread)
	away := time.Time{}
	var pause time.Duration
	for ctx.Err() == nil {
		mine := d.reads()
		a, ok := d.age()
		if t := r.threshold(spread); !mine && ok && a < t {
			r.sleep(ctx, min(t-a+time.Millisecond, tick))
			continue
		}
		wait := d.wait
		if !mine {
			wait = 0
		}
		c, cancel := context.WithTimeout(ctx, wait+readMargin)
		err := d.read(c, wait)
		cancel()
		r.countRead(d.name, err)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if away.IsZero() {
				away = r.Clock.Now()
			}
			pause = nextPause(pause, mine)
			r.Logger.Warn("store not read", zap.String("what", d.name), logger.Cause(err), zap.Duration("pause", pause), zap.Bool("forOthers", mine))
			r.sleep(ctx, jittered(pause))
			continue
		}
		if !away.IsZero() {
			r.Logger.Info("store read again", zap.String("what", d.name), zap.Duration("away", r.Clock.Since(away)))
		}
		pause, away = 0, time.Time{}
		if mine {
			r.sleep(ctx, d.pace)
		} else {
			r.sleep(ctx, stalePause)
		}
	}
}

func (r *Relayer) readConfiguration(ctx context.Context) {
	var after Position
	r.run(ctx, reader{
		name: "configuration", wait: configurationWait, reads: r.Leads,
		age: func() (time.Duration, bool) {
			t, at := r.Tracker.Table()
			return r.Clock.Since(at), t != nil
		},
		read: func(ctx context.Context, wait time.Duration) error {
			began := r.Clock.Now()
			got, err := r.Source.Configurations(ctx, after, wait)
			if err != nil {
				return err
			}
			for _, c := range got.Items {
				r.Tracker.Configure(c)
			}
			after = got.Next
			if t, _ := r.Tracker.Table(); t != nil {
				r.Tracker.Confirm(began, time.Time{})
			}
			return nil
		},
	})
}

func (r *Relayer) readRegistrations(ctx context.Context) {
	var after Position
	r.run(ctx, reader{
		name: "registrations", pace: registrationPace, reads: r.readsForFleet,
		age: func() (time.Duration, bool) {
			_, a := r.Tracker.Ages()
			return a, a < time.Hour // There was no read at all if it is as old as the clock.
		},
		read: func(ctx context.Context, _ time.Duration) error {
			began := r.Clock.Now()
			got, err := r.Source.Registrations(ctx, after)
			if err != nil {
				return err
			}
			r.Tracker.ApplyRegistrations(began, got.Items, got.Whole, got.Next.Offset)
			after = got.Next
			return nil
		},
	})
}

func (r *Relayer) readPeers(ctx context.Context) {
	var after Position
	read := time.Time{}
	r.run(ctx, reader{
		name: "peers", pace: peersPace, reads: func() bool { return read.IsZero() || r.readsForFleet() },
		age: func() (time.Duration, bool) { return 0, !read.IsZero() },
		read: func(ctx context.Context, _ time.Duration) error {
			got, err := r.Source.Peers(ctx, after)
			if err != nil {
				return err
			}
			for _, m := range got.Items {
				if m.Address != r.Self.Address {
					r.Tracker.Meet(m)
				}
			}
			after, read = got.Next, r.Clock.Now()
			return nil
		},
	})
}
