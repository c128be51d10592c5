package relayer

import "maps"

// StoreReads returns how often the store was read since the start, by what was read and whether it answered.
func (r *Relayer) StoreReads() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.reads)
}

// RateDecisions returns how many requests were admitted and refused by rate since the start, by the account's owner and
// without it.
func (r *Relayer) RateDecisions() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.decisions)
}

// OwnedRates returns how many accounts' rates this VM holds.
func (r *Relayer) OwnedRates() float64 {
	r.rates.mu.Lock()
	defer r.rates.mu.Unlock()
	return float64(len(r.rates.owned))
}

func (r *Relayer) countRead(what string, err error) {
	result := " answered"
	if err != nil {
		result = " failed"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads[what+result]++
}

func (r *Relayer) countDecision(a Admission) {
	where, how := "owner", " refused"
	if a.Owner == "" {
		where = "alone"
	}
	if a.Admitted {
		how = " admitted"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions[where+how]++
}
