package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/operator"
)

type dumpCommand struct {
	Operators netip.AddrPort `default:"127.0.0.1:7070" help:"Address of the daemon's operators listener."`
	Watch     bool           `help:"Print events as they happen, one line of JSON each, until interrupted."`
}

// dumpTimeout bounds the time to connect, and the time until the response headers arrive. Reading the body is
// not bounded, as a watch runs until it is interrupted.
const dumpTimeout = 10 * time.Second

func (c dumpCommand) Run() error {
	path := operator.PathDump
	if c.Watch {
		path = operator.PathWatch
	}
	client := &http.Client{Transport: &http.Transport{
		ResponseHeaderTimeout: dumpTimeout, DialContext: (&net.Dialer{Timeout: dumpTimeout}).DialContext,
	}}
	rep, err := client.Get("http://" + c.Operators.String() + path)
	if err != nil {
		return errors.Wrap(err, "dump")
	}
	defer func() { _ = rep.Body.Close() }()
	if rep.StatusCode != http.StatusOK {
		return errors.Newf("dump: %s returned status %s", c.Operators, rep.Status)
	}
	if _, err := io.Copy(os.Stdout, rep.Body); err != nil {
		return errors.Wrap(err, "dump")
	}
	if !c.Watch {
		fmt.Println()
	}
	return nil
}
