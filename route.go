package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/platform"
)

type routeCommand struct {
	File   string `required:"" type:"existingfile" help:"Configuration as the platform's operator publishes it, JSON."`
	Host   string `required:"" help:"Host of the request."`
	Path   string `required:"" help:"Path of the request; a query is ignored."`
	Method string `default:"GET" help:"Method of the request."`
}

// errNoRoute is returned for a request that no route matches.
var errNoRoute = errors.New("no route has the host and a prefix of the path: the request gets status 404")

func (c routeCommand) Run() error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read the configuration")
	}
	return c.explain(os.Stdout, b)
}

// explain writes which route handles the request, and why.
func (c routeCommand) explain(w io.Writer, configuration []byte) error {
	conf, err := platform.DecodeConfiguration(configuration)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	path, _, _ := strings.Cut(c.Path, "?")
	t := router.New(conf)
	matches := t.Matches(c.Host, path)
	var out strings.Builder
	fmt.Fprintf(&out, "version   %d, with %d routes\n", t.Version, len(t.Routes))
	if len(matches) == 0 {
		_, _ = io.WriteString(w, out.String())
		return errNoRoute
	}
	r := matches[0]
	fmt.Fprintf(&out, "route     %s, host %s, prefix %s\n", r.Name, r.Host, r.Prefix)
	if len(matches) == 1 {
		out.WriteString("because   no other prefix matches\n")
	} else {
		out.WriteString("because   its prefix is the longest that matches; also")
		for _, m := range matches[1:] {
			fmt.Fprintf(&out, " %s (%s)", m.Name, m.Prefix)
		}
		out.WriteString("\n")
	}
	out.WriteString("services ")
	for _, s := range r.Services {
		fmt.Fprintf(&out, " %s (weight %g)", s.Service, s.Weight)
	}
	fmt.Fprintf(&out, "\nmethod    %s; routes do not depend on it\n", c.Method)
	runs := "once at most"
	if r.Idempotent {
		runs = fmt.Sprintf("more than once, at up to %d instances", r.Attempts)
	}
	fmt.Fprintf(&out, "runs      %s\nkey       %s\ntimeout   %v, objective %v\n", runs, map[bool]string{true: "needed", false: "not needed"}[t.NeedsKey(r)], r.Timeout, r.Objective)
	_, err = io.WriteString(w, out.String())
	return errors.Wrap(err, "write the route")
}
