// Package watcher reads the platform's list of live and leaving VMs.
package watcher
