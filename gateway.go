package main

import (
	"os"

	"github.com/cockroachdb/errors"

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
	logger, err := newLogger(c.Level)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	clock, err := timekeeper.New()
	if err != nil {
		return err
	}
	d, err := runner.New(runner.Options{
		Settings: s, Source: platform.NewStore(store, logger), Dialect: platform.Dialect(), Entry: platform.Entry,
		Clock: clock, Logger: logger,
	})
	if err != nil {
		return err
	}
	stop, _ := signals()
	return d.Run(stop)
}
