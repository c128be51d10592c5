// Package balancer chooses the instance of a service that gets a request.
//
// For each instance it keeps the log-likelihood ratio of being unhealthy against
// being healthy, relative to a prior that it learns. Outcomes of requests raise
// and lower it, and the probability relaxes to the prior over time. Outcomes
// that this process observed and outcomes that its peers report have the same
// weight, except for failures on the network path: these may be caused by the
// path of the observer, so they have full weight for the observer and a small
// weight for the others. A request goes to the instance with the lowest cost of
// a few: the expected wait and the risk of a failure, where leaving the failure
// domain counts as additional wait, less so if the others have more room. Some
// requests, idempotent ones first, try instances that had no activity for a
// while, so that no instance is judged on outdated evidence.
//
// It answers many processes with few requests each, on instances of which a
// part fails for some seconds without showing it.
//
// The package does no I/O, and is not safe for concurrent use.
package balancer
