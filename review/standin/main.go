package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path) //nolint:gosec // The case's script names the folder.
	if err != nil {
		return nil, err
	}
	return &record{w: bufio.NewWriter(f), f: f, began: time.Now()}, nil
}

func (r *record) since(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.began).Seconds()) }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%s "+format+"\n", append([]any{r.since(time.Now())}, args...)...)
}

// verdict is a line that is also printed.
func (r *record) verdict(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(root string, rec *record, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) int {
	dir, err := filepath.Abs(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	broken, err := cases[name](filepath.Dir(filepath.Dir(dir)), rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.verdict("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.verdict("the rule was broken")
		return exitBroken
	}
	rec.verdict("the rule held")
	return exitHeld
}
