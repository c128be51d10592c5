// Package balancer chooses the instance of a service that gets a request.
//
// For each instance it keeps the log-likelihood ratio of being unhealthy against
// being healthy. Outcomes of requests raise and lower it, and it decays over
// time. Outcomes that this process observed and outcomes that its peers report
// have the same weight, except for failures on the network path: these may be
// caused by the path of the observer, so they have full weight for the observer
// and a small weight for the others. Requests that may run only once go to
// instances that are not suspected. Idempotent requests also probe instances
// that had no activity for a while, so that no instance is judged on outdated
// evidence. Among the remaining instances, the one with the shortest expected
// wait is chosen, where leaving the failure domain counts as additional wait.
//
// The package does no I/O, and is not safe for concurrent use.
package balancer
