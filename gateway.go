package main

import (
	"os"

	"github.com/cockroachdb/errors"

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
		Settings: s, Source: platform.NewStore(store, log), Dialect: platform.Dialect(), Entry: platform.Entry,
		Clock: clock, Logger: log,
	})
	if err != nil {
		return err
	}
	stop, _ := signals()
	return d.Run(stop)
}
