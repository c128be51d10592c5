// Package detector judges which instances of a service are sick, and ejects
// and readmits them.
//
// Detecting a change for the worse as soon as possible at a given rate of
// false alarms is the problem of quickest change detection, which the CUSUM
// procedure solves: for each instance a sum of log-likelihood ratios of its
// requests, sick against well, floored at zero. An instance is ejected when
// its sum reaches a threshold and the service keeps its floor of capacity.
//
// Requests are compared with those of the other instances at the same time,
// so that a slowdown or failure of the whole service is no evidence against
// any one of them. The package does no I/O and starts no goroutine.
package detector
