package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jacinthproxy/jacinthproxy/internal/server"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
)

type serveCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file, JSON with comments."`
	Strict   bool   `help:"End the process when a guarantee is violated; for tests."`
}

// exitViolation is the exit code of a strict daemon after a violation.
const exitViolation = 70

func (c serveCommand) Run() error {
	s, err := server.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	logger, err := newLogger(s.Log.Level)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	p, err := server.HTTPPlatform(s.Platform)
	if err != nil {
		return err
	}
	d, err := server.New(s, p, clockwork.NewRealClock(), logger, func(v asserter.Violation) {
		logger.Error("guarantee violated", zap.Error(v))
		if c.Strict {
			os.Exit(exitViolation)
		}
	})
	if err != nil {
		return err
	}
	first, second := signals()
	return d.Run(first, second)
}

// signals returns contexts that end with the first and the second signal to stop.
func signals() (first, second context.Context) {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGINT, syscall.SIGTERM)
	first, endFirst := context.WithCancel(context.Background())
	second, endSecond := context.WithCancel(context.Background())
	go func() {
		<-ch
		endFirst()
		<-ch
		endSecond()
	}()
	return first, second
}

// newLogger returns a logger that writes one line of key=value pairs for each event.
func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log.level")
	}
	ec := zap.NewProductionEncoderConfig()
	ec.TimeKey, ec.MessageKey = "at", "event"
	ec.EncodeTime = func(t time.Time, e zapcore.PrimitiveArrayEncoder) {
		e.AppendString(t.UTC().Format(time.RFC3339Nano))
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(ec), zapcore.Lock(os.Stderr), l)
	return zap.New(core), nil
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
		all = addFindings(all, err)
	}
	for _, f := range c.Document {
		_, err := readDocument(f)
		all = addFindings(all, err)
	}
	if all == nil {
		fmt.Println("nothing found")
	}
	return all
}
