package runner

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
)

// metrics counts what the daemon does.
type metrics struct {
	mu       sync.Mutex
	requests map[receiver.Reason]int64
}

func newMetrics() *metrics { return &metrics{requests: map[receiver.Reason]int64{}} }

// Observe implements receiver.Observer.
func (m *metrics) Observe(_ string, reason receiver.Reason, _ int, _ time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[reason]++
}

// summary returns the requests since the start by reason.
func (m *metrics) summary() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := make(map[string]int64, len(m.requests))
	for r, n := range m.requests {
		s[r.String()] = n
	}
	return s
}

// operators returns the handler of the operators' address.
func (r *Runner) operators() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/dump", func(c echo.Context) error {
		table, entries := r.tracker.Ages()
		t, _ := r.tracker.Table()
		version := int64(0)
		if t != nil {
			version = t.Version
		}
		return c.JSONPretty(http.StatusOK, map[string]any{
			"version": version, "configurationAgeNs": table, "instancesAgeNs": entries, "role": r.relayer.Role(),
			"members": r.tracker.Members(), "instances": r.tracker.Entries(), "judgements": r.picker.Judgements(),
			"requests": r.metrics.summary(),
		}, "  ")
	})
	return e
}
