package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/runner"
	"github.com/jacinthproxy/jacinthproxy/internal/timekeeper"
	"github.com/jacinthproxy/jacinthproxy/platform"
)

type gatewayCommand struct {
	Settings string `type:"existingfile" env:"JACINTHPROXY_NODE_FILE" help:"Settings file of the platform."`
	Level    string `default:"info" help:"Least level of the lines that are logged."`
}

// Run runs a daemon on the users' platform until it is told to stop.
func (c gatewayCommand) Run() error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return errors.Newf("no settings: name the file with --settings or %s", platform.SettingsVariable)
	}
	s, store, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	log, flush, err := logger.New(c.Level, os.Stdout)
	if err != nil {
		return err
	}
	defer flush()
	clock, err := timekeeper.New()
	if err != nil {
		return err
	}
	d, err := runner.New(runner.Options{
		Settings: s, Source: platform.NewStore(store, log), Dialect: platform.Dialect(), Entry: platform.NewHandler,
		Clock: clock, Logger: log,
	})
	if err != nil {
		return err
	}
	go reload(hangups(), path, s, log)
	stop, _ := signals()
	return d.Run(stop)
}

// hangups returns the signals that the settings file changed, which would end the process otherwise.
func hangups() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

// reload checks the settings file at each signal. What it holds is fixed for the life of a process, so a
// change is only reported.
func reload(signals <-chan os.Signal, path string, before runner.Settings, log *zap.Logger) {
	for range signals {
		now, _, err := platform.ReadSettings(path)
		changed := err == nil && !reflect.DeepEqual(now, before)
		log.Info("reload", zap.String("settings", path), zap.Bool("inForceAfterRestart", changed), logger.Cause(err))
	}
}
