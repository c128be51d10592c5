// Package picker holds the balancers of all services for the requests of one
// process, its share of the fleet's budget of retries, and what requests of
// each route usually take.
package picker
