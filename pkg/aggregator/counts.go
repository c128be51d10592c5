package aggregator

// Levels is the number of levels of urgency that are told apart; 0 is the most urgent.
const Levels = 4

// Level returns the level of requests of a priority, of which 0 is the highest. Priorities beyond the last level belong to it.
func Level(priority int) int { return min(max(priority, 0), Levels-1) }

// Counts are the events at one service within Window.
type Counts struct {
	// Offered, Admitted and Rejected count the requests of callers by level: those that arrived, those that might be sent to
	// an instance, and those that were rejected for want of room.
	Offered, Admitted, Rejected [Levels]int64
	// Sends counts the attempts whose outcome is known, and Refused those of them that a full instance refused.
	Sends, Refused int64
	// Ended counts the requests that ended, and Unserved those of them that failed or were refused for any reason.
	Ended, Unserved int64
	// Kept is the number of retries that the VMs have kept, and Budget how many they may send in a span of the retry budget; both
	// are not counted but as they are now.
	Kept, Budget int64
}

// IsZero reports whether nothing was counted.
func (c Counts) IsZero() bool { return c == Counts{} }

// add adds n times the counts of o.
func (c *Counts) add(o Counts, n int64) {
	for l := range Levels {
		c.Offered[l] += n * o.Offered[l]
		c.Admitted[l] += n * o.Admitted[l]
		c.Rejected[l] += n * o.Rejected[l]
	}
	c.Sends += n * o.Sends
	c.Refused += n * o.Refused
	c.Ended += n * o.Ended
	c.Unserved += n * o.Unserved
	c.Kept += n * o.Kept
	c.Budget += n * o.Budget
}

// RefusedShare returns the share of the sends that full instances refused; zero if there were none.
func (c Counts) RefusedShare() float64 { return share(c.Refused, c.Sends) }

// UnservedShare returns the share of the requests that ended unserved; zero if none ended.
func (c Counts) UnservedShare() float64 { return share(c.Unserved, c.Ended) }

// KeptShare returns the share of the retry budget that the VMs have kept; zero if there is none.
func (c Counts) KeptShare() float64 { return share(c.Kept, c.Budget) }

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
