package tracker

import (
	"slices"

	"go.uber.org/zap"
)

// Drain says whether the operator drained a failure domain: its instances get no requests until the drain ends.
type Drain struct {
	Domain string `json:"domain"`
	// Drained is false if the drain ended.
	Drained bool `json:"drained"`
	// Offset is the position of the record among the operator's records, as the function Offset returns it.
	Offset uint64 `json:"offset"`
}

type drainRecord struct {
	Drain
	// sequence is the tracker's sequence number of the last change.
	sequence uint64
}

// ApplyDrains applies records of drains, each of which holds if it is later than what is known of its failure domain.
func (t *Tracker) ApplyDrains(ds []Drain) { t.applyDrains(sourceStore, ds) }

// MergeDrains merges what a peer knows of the drains.
func (t *Tracker) MergeDrains(peer string, ds []Drain) { t.applyDrains(peer, ds) }

// ApplyDrainSnapshot applies the names of all failure domains that the operator's records up to an offset drain. The drain of
// any other one has ended, unless its record is later, or is of an earlier epoch and the operator may still write it again: settled
// is false then.
func (t *Tracker) ApplyDrainSnapshot(drained []string, end uint64, settled bool) {
	if end == 0 {
		return
	}
	t.mu.Lock()
	for domain, d := range t.drains {
		if d.Drained && d.Offset < end && (settled || EpochOf(d.Offset) == EpochOf(end)) && !slices.Contains(drained, domain) {
			t.applyDrain(sourceStore, Drain{Domain: domain, Offset: end - 1})
		}
	}
	t.mu.Unlock()
	t.notifyInstancesChange()
}

func (t *Tracker) applyDrains(source string, ds []Drain) {
	if len(ds) == 0 {
		return
	}
	t.mu.Lock()
	for _, d := range ds {
		t.applyDrain(source, d)
	}
	t.mu.Unlock()
	t.notifyInstancesChange()
}

// applyDrain applies a record of a drain if it is later than what is known. t.mu must be held.
func (t *Tracker) applyDrain(source string, d Drain) {
	known := t.drains[d.Domain]
	if known == nil {
		known = &drainRecord{}
		t.drains[d.Domain] = known
	} else if d.Offset <= known.Offset {
		return
	}
	changed := known.Drained != d.Drained
	known.Drain = d
	known.sequence = t.recordChange()
	if !changed {
		return
	}
	if !d.Drained {
		t.returnedAt[d.Domain] = t.clock.Now()
	}
	t.countChange(true)
	t.logger.Info("failure domain", zap.String("failureDomain", d.Domain), zap.Bool("drained", d.Drained),
		zap.String("source", source), zap.String("offset", formatOffset(d.Offset)))
}

// drained reports whether the operator drained a failure domain. t.mu must be held.
func (t *Tracker) drained(domain string) bool {
	d := t.drains[domain]
	return d != nil && d.Drained
}

// DrainedDomains returns the names of the failure domains that the operator drained, in order.
func (t *Tracker) DrainedDomains() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for domain, d := range t.drains {
		if d.Drained {
			names = append(names, domain)
		}
	}
	slices.Sort(names)
	return names
}

// appendDrains appends the drains that changed after a sequence number. t.mu must be held.
func (t *Tracker) appendDrains(c *Changes, sequence uint64) {
	for _, d := range t.drains {
		if d.sequence > sequence {
			c.Drains = append(c.Drains, d.Drain)
		}
	}
}
