package admitter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
)

// The chance must be that of Admit, and a look at it must not change what Admit decides.
func TestChanceIsThatOfAdmit(t *testing.T) {
	const draws = 400
	p, asked := newPlay(1000, levels(300, 700, 1000)...), newPlay(1000, levels(300, 700, 1000)...)
	for range 3 {
		p.run(time.Second)
		asked.run(time.Second)
		for _, s := range append(asked.senders, sender{"new", 1, 10, 20}) {
			r := admitter.Request{Service: "s", Level: s.level, Account: s.account, Rate: s.limit}
			a := asked.admitters[0]
			c := a.Chance(asked.now, r)
			for range draws {
				require.Equal(t, c, a.Chance(asked.now, r))
			}
			admitted := 0
			random := rand.New(rand.NewPCG(3, 4))
			for range draws {
				d := a.Clone(random).Admit(asked.now, r)
				if d.Admitted {
					admitted++
					continue
				}
				require.GreaterOrEqual(t, d.RetryAfter, c.MinRetryAfter)
				require.LessOrEqual(t, d.RetryAfter, c.MaxRetryAfter)
			}
			require.InDelta(t, c.Account, float64(admitted)/draws, 0.1, s.account)
			if c.Share >= 1 {
				require.InDelta(t, 1, c.Account, 0)
			}
		}
	}
	require.Positive(t, p.rejected, "the service is short of room")
	require.Equal(t, p.sent, asked.sent)
	require.Equal(t, p.served, asked.served)
	require.Equal(t, p.retryAfter, asked.retryAfter)
}

func TestChanceWithRoomIsCertain(t *testing.T) {
	a := admitter.New(rand.New(rand.NewPCG(1, 2)))
	require.Equal(t, admitter.Chance{Share: 1, Account: 1}, a.Chance(time.Unix(1000, 0), admitter.Request{Service: "s"}))
}
