package tracker

import (
	"time"

	"go.uber.org/zap"
)

// Sources of changes; that of a relayed change is the peer's address.
const (
	// sourceStore is the source of what this VM read from the registry.
	sourceStore = "store"
	// sourceGracePeriod is the source of removals that were put off until the end of the grace period.
	sourceGracePeriod = "gracePeriod"
	// sourceResponse is the source of what an instance stated in a response to this VM.
	sourceResponse = "response"
	// sourceOutcomes is the source of what follows from the outcomes of requests.
	sourceOutcomes = "outcomes"
)

// change says where a change of the instances comes from, and the age of the view that it replaces.
type change struct {
	source  string
	viewAge time.Duration
}

// change returns a change from a source to the current view. t.mu must be held.
func (t *Tracker) change(source string) change {
	return change{source, min(t.clock.Since(t.entriesReadAt), maxLoggedAge)}
}

// maxLoggedAge caps the ages in log lines; before the first read, the age counts from the zero time.
const maxLoggedAge = time.Hour

func (c change) fields(id string) []zap.Field {
	return []zap.Field{zap.String("id", id), zap.String("source", c.source), zap.Duration("viewAge", c.viewAge)}
}
