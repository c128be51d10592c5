package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/server"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

type serveCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file, JSON with comments."`
	Strict   bool   `help:"End the process when a guarantee is violated; for tests."`
}

// exitViolation is the exit code of a daemon in strict mode after a guarantee was violated.
const exitViolation = 70

func (c serveCommand) Run() error {
	s, err := server.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	log, flush, err := logger.New(s.Log.Level, os.Stderr)
	if err != nil {
		return err
	}
	defer flush()
	p, err := server.NewHTTPPlatform(s.Platform)
	if err != nil {
		return err
	}
	d, err := server.New(s, p, clockwork.NewRealClock(), log, func(v asserter.Violation) {
		log.Error("guarantee violated", logger.Err(v))
		if c.Strict {
			flush()
			os.Exit(exitViolation)
		}
	})
	if err != nil {
		return err
	}
	first, second := stopSignals()
	return d.Run(first, second)
}

// stopSignals returns two contexts, canceled by the first and the second SIGINT or SIGTERM.
func stopSignals() (first, second context.Context) {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGINT, syscall.SIGTERM)
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	go func() {
		<-ch
		cancelFirst()
		<-ch
		cancelSecond()
	}()
	return first, second
}

type checkCommand struct {
	Settings string   `type:"existingfile" help:"Settings file of a daemon."`
	Document []string `type:"existingfile" help:"Documents of the configuration, one for each team."`
}

func (c checkCommand) Run() error {
	var all error
	if c.Settings == "" && len(c.Document) == 0 {
		return errors.New("name a file with --settings or --document")
	}
	if c.Settings != "" {
		_, err := server.ReadSettings(c.Settings)
		all = combineErrors(all, err)
	}
	for _, f := range c.Document {
		_, err := readDocument(f)
		all = combineErrors(all, err)
	}
	if all == nil {
		fmt.Println("nothing found")
	}
	return all
}
