// Package logger writes structured logs, one line of key=value pairs for each
// event, without ever making the caller wait.
package logger
