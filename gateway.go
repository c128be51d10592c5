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
	// HedgeShare is nil unless set.
	HedgeShare *float64 `env:"JACINTHPROXY_HEDGE_SHARE" placeholder:"SHARE" help:"Limit on hedges, the second sends of slow requests that may run more than once: a share of a service's requests over all VMs, from 0 (none) to 1. Unset: a request is sent again after 0.6 of its objective, within the retry budget."`
}

// Validate checks the flags. It is called by kong.
func (c gatewayCommand) Validate() error {
	if s := c.HedgeShare; s != nil && !(*s >= 0 && *s <= 1) {
		return errors.Newf("--hedge-share is %v; it must be from 0 to 1", *s)
	}
	return nil
}

// Run runs a daemon on the platform with a metadata store until it receives SIGINT or SIGTERM.
func (c gatewayCommand) Run() error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return errors.Newf("no settings file: set --settings or %s", platform.SettingsVariable)
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
		Settings: s, Source: platform.NewStore(store, log), HeaderNames: platform.HeaderNames(), NewHandler: platform.NewHandler,
		HedgeShare: c.HedgeShare, Clock: clock, Logger: log,
	})
	if err != nil {
		return err
	}
	go reportSettingsChanges(hangupSignals(), path, s, log)
	stop, _ := stopSignals()
	return d.Run(stop)
}

// hangupSignals returns a channel that receives SIGHUP, the signal that the settings file has changed. Unless
// handled, it would terminate the process.
func hangupSignals() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

// reportSettingsChanges reads the settings file on each signal and logs whether the settings changed, or why the
// file is invalid. It does not apply them: settings are fixed for the lifetime of a process.
func reportSettingsChanges(signals <-chan os.Signal, path string, before runner.Settings, log *zap.Logger) {
	for range signals {
		now, _, err := platform.ReadSettings(path)
		changed := err == nil && !reflect.DeepEqual(now, before)
		log.Info("reload", zap.String("settings", path), zap.Bool("inForceAfterRestart", changed), logger.Err(err))
	}
}
