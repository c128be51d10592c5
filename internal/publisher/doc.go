// Package publisher publishes changes of the configuration on the log and reads their history.
package publisher
