package relayer

import "maps"

// StoreReads returns the number of reads of the store since the start, by what was read and whether the read succeeded.
func (r *Relayer) StoreReads() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.reads)
}

// RateDecisions returns the number of requests admitted and refused by the accounts' rates since the start, by whether
// the account's owner decided.
func (r *Relayer) RateDecisions() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.decisions)
}

// LimitDecisions returns the number of decisions on requests to instances with a limit since the start.
func (r *Relayer) LimitDecisions() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.limitDecisions)
}

// OwnedRates returns the number of accounts whose token bucket this VM holds.
func (r *Relayer) OwnedRates() float64 {
	r.rates.mu.Lock()
	defer r.rates.mu.Unlock()
	return float64(len(r.rates.buckets))
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

func (r *Relayer) countLimitDecision(decision string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitDecisions[decision]++
}
