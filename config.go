package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/publisher"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/parser"
)

type configCommand struct {
	Publish publishCommand `cmd:"" help:"Publish a team's subtree."`
	Show    showCommand    `cmd:"" help:"Show a team's subtree, or the teams and their versions."`
	History historyCommand `cmd:"" help:"List the records of the configuration with their outcomes."`
}

// logFlags are the flags of the commands that access the log service.
type logFlags struct {
	Log     *url.URL      `required:"" env:"JACINTHPROXY_LOG" help:"URL of the platform's log service."`
	Timeout time.Duration `default:"15s" help:"How long to try."`
	Output  string        `enum:"text,json" default:"text" help:"Form of the output: text or json."`
}

// openLog returns a client of the log service and a context that ends after the timeout.
func (f logFlags) openLog() (follower.Log, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return follower.NewHTTPLog(f.Log, &http.Client{}), ctx, cancel
}

// print writes v as JSON or, with text output, text.
func (f logFlags) print(v any, text string) error {
	if f.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	fmt.Println(text)
	return nil
}

type publishCommand struct {
	logFlags
	Team string  `required:"" help:"Team whose subtree is published."`
	File string  `required:"" type:"existingfile" help:"Document, JSON with comments."`
	Base *uint64 `help:"Version that the document is based on; by default the one that its first line names, as config show writes it, or 0 for a new team."`
}

// outcome is what a command that publishes a change prints.
type outcome struct {
	Team    string         `json:"team"`
	ID      string         `json:"id"`
	Outcome merger.Outcome `json:"outcome"`
	Base    uint64         `json:"base"`
	Version uint64         `json:"version"`
}

func (c publishCommand) Run() error {
	text, err := readDocument(c.File)
	if err != nil {
		return err
	}
	base := parseVersion(text)
	if c.Base != nil {
		base = *c.Base
	}
	return c.publish(publisher.Change{Team: c.Team, Base: base, Document: text})
}

// publish publishes a change and prints its outcome, if that is known.
func (f logFlags) publish(ch publisher.Change) error {
	o, err := f.send(ch)
	if o == nil {
		return err
	}
	if e := f.print(o, o.String()); e != nil {
		return e
	}
	return err
}

// String describes the outcome in one line.
func (o outcome) String() string {
	return fmt.Sprintf("team %s: %s, version %d", o.Team, o.Outcome, o.Version)
}

// send publishes a change in the name of the current user. The outcome is nil if it is unknown; a change that
// was not accepted has both an outcome and an error.
func (f logFlags) send(ch publisher.Change) (*outcome, error) {
	l, ctx, cancel := f.openLog()
	defer cancel()
	if u, err := user.Current(); err == nil {
		ch.Author = u.Username
	}
	e, err := publisher.Publish(ctx, l, ch, time.Now)
	if err != nil {
		return nil, err
	}
	return &outcome{ch.Team, e.Result.Record.ID, e.Result.Outcome, ch.Base, e.Result.Version}, e.Result.Err
}

// versionLine matches the first line of the output of config show.
var versionLine = regexp.MustCompile(`^// version (\d+)\n`)

// parseVersion returns the version in the first line of a document, or 0 if it has none.
func parseVersion(text string) uint64 {
	m := versionLine.FindStringSubmatch(text)
	if m == nil {
		return 0
	}
	v, _ := strconv.ParseUint(m[1], 10, 64)
	return v
}

// readDocument returns the text of a document after checking that it parses.
func readDocument(file string) (string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read document")
	}
	_, err = merger.ParseDocument(file, b)
	return string(b), err
}

// combineErrors combines two errors. Findings of both are merged, so that the result contains all of them.
func combineErrors(all, err error) error {
	var a, b parser.Findings
	switch {
	case err == nil:
		return all
	case all == nil:
		return err
	case errors.As(all, &a) && errors.As(err, &b):
		return append(a, b...)
	}
	return errors.CombineErrors(all, err)
}

type showCommand struct {
	logFlags
	Team string `arg:"" optional:"" help:"Team to show; all teams and their versions without it."`
}

func (c showCommand) Run() error {
	conf, err := c.load()
	if err != nil {
		return err
	}
	if c.Team == "" {
		versions := map[string]uint64{}
		var lines []string
		for _, s := range conf.Tree.Teams() {
			versions[s.Team] = s.Version
			lines = append(lines, fmt.Sprintf("%s\tversion %d", s.Team, s.Version))
		}
		return c.print(versions, strings.Join(lines, "\n"))
	}
	s, ok := conf.Tree.Team(c.Team)
	if !ok {
		return errors.Newf("team %q does not exist", c.Team)
	}
	body := versionLine.ReplaceAllString(s.Text, "")
	return c.print(s, fmt.Sprintf("// version %d\n%s", s.Version, strings.TrimRight(body, "\n")))
}

// load reads the whole configuration from the log service.
func (f logFlags) load() (*publisher.Configuration, error) {
	l, ctx, cancel := f.openLog()
	defer cancel()
	return publisher.Load(ctx, l)
}

type historyCommand struct {
	logFlags
	Team string `help:"Only records of this team."`
}

// historyLine is what config history prints for one record.
type historyLine struct {
	Offset  uint64         `json:"offset"`
	At      time.Time      `json:"at"`
	Team    string         `json:"team"`
	Kind    merger.Kind    `json:"kind"`
	ID      string         `json:"id"`
	Author  string         `json:"author"`
	Base    uint64         `json:"base"`
	Outcome merger.Outcome `json:"outcome"`
	Reason  string         `json:"reason,omitempty"`
}

func (c historyCommand) Run() error {
	conf, err := c.load()
	if err != nil {
		return err
	}
	lines := []historyLine{}
	var text strings.Builder
	for _, e := range conf.History {
		r := e.Result.Record
		if c.Team != "" && r.Team != c.Team {
			continue
		}
		h := historyLine{e.Offset, r.At, r.Team, r.Kind, r.ID, r.Author, r.Base, e.Result.Outcome, ""}
		if e.Result.Err != nil {
			h.Reason = e.Result.Err.Error()
		}
		lines = append(lines, h)
		fmt.Fprintf(&text, "%d\t%s\t%s\t%s\t%s\t%s\tbase %d\t%s\t%s\n", h.Offset, h.At.UTC().Format(time.RFC3339),
			h.Team, h.Kind, h.ID, h.Author, h.Base, h.Outcome, h.Reason)
	}
	return c.print(lines, strings.TrimRight(text.String(), "\n"))
}
