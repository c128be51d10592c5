// Package detector detects unhealthy instances of a service, and ejects and
// readmits them.
//
// Detecting a change for the worse as soon as possible at a given rate of
// false alarms is the problem of quickest change detection, which the CUSUM
// procedure solves: for each instance, it sums the log-likelihood ratios of the
// outcomes of its requests, unhealthy against healthy, and keeps the sum from
// falling below zero. An instance is ejected when its sum reaches a threshold,
// unless that would leave fewer live instances than the floor of the service.
//
// Requests are compared with concurrent requests at the other instances, so
// that a slowdown or failure of the whole service is no evidence against any
// one of them. The package does no I/O and starts no goroutine.
package detector
