// Package logger writes structured logs, one line of key=value pairs for each
// event, without ever blocking the caller.
package logger
