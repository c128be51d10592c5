package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// answer is what a client got for a request.
type answer struct {
	id, machine string
	sent, ended time.Time
	// status is zero if there was no complete answer.
	status int
	text   string
}

// record collects what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	notes []note
	sent  map[string]time.Time
	done  []answer
	runs  []run
}

type note struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{began: time.Now(), sent: map[string]time.Time{}} }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, note{time.Now(), fmt.Sprintf(format, args...)})
}

func (r *record) addSent(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.sent[id] = now
	return now
}

func (r *record) addAnswer(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = append(r.done, a)
}

func (r *record) addRun(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
}

// write writes all to a file, in order of time.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	type line struct {
		at   time.Time
		text string
	}
	var ls []line
	for _, n := range r.notes {
		ls = append(ls, line(n))
	}
	for id, at := range r.sent {
		ls = append(ls, line{at, "sent " + id})
	}
	for _, a := range r.done {
		ls = append(ls, line{a.ended, fmt.Sprintf("answered %s by %s: %d %s", a.id, a.machine, a.status, a.text)})
	}
	for _, x := range r.runs {
		ls = append(ls, line{x.at, fmt.Sprintf("run %s at %s for %s", x.id, x.instance, x.tenant)})
	}
	slices.SortStableFunc(ls, func(a, b line) int { return a.at.Compare(b.at) })
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create record")
	}
	w := bufio.NewWriter(f)
	for _, l := range ls {
		_, _ = fmt.Fprintf(w, "%8.3f %s\n", l.at.Sub(r.began).Seconds(), l.text)
	}
	return errors.CombineErrors(w.Flush(), f.Close())
}
