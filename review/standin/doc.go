// Command standin plays the review's cases: it starts daemons with the command of the deploy file, is the platform's store,
// the operator, the instances and the clients, and checks one rule by what these have seen.
package main
