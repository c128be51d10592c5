// Package server assembles one daemon: it reads the settings, opens the listeners, runs the daemon's roles
// and converts between their types and the messages exchanged with other daemons.
package server
