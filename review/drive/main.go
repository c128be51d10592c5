package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// verdict is what a case found: what was broken, and the error that kept it from running.
type verdict struct {
	broken string
	err    error
}

// cases are the scripted cases by name. Each is told whether to cause the disruption.
var cases = map[string]func(f *fleet, trouble bool) verdict{
	"removed-machines": removedMachines,
	"forgotten-rate":   forgottenRate,
	"leave-ahead":      leaveAhead,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, which writes its record to dir, and returns the exit code.
func play(name, dir string) int {
	out, err := os.Create(filepath.Join(dir, "record.txt")) //nolint:gosec // The script names the folder.
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	tmp, err := os.MkdirTemp(os.Getenv("REVIEW_TMP"), "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("REVIEW_TMP") == "" {
		defer func() { _ = os.RemoveAll(tmp) }() //nolint:gosec // It was made above.
	}
	r := &record{w: out, at: time.Now()}
	f, err := newFleet(tmp, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	v := cases[name](f, trouble)
	switch {
	case v.err != nil:
		r.addf("not run: %v", v.err)
		fmt.Println("not run:", v.err)
		return exitNotRun
	case v.broken != "":
		r.addf("BROKEN: %s", v.broken)
		fmt.Println("BROKEN:", v.broken)
		return exitBroken
	}
	r.addf("held")
	fmt.Println("held")
	return exitHeld
}
