// Package publisher appends configuration changes to the log and reads their history.
package publisher
