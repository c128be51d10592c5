// Package receiver serves the requests of callers: it finds the route and the
// client account, enforces the account's rate, sends the request to instances
// with retries and hedges, and returns one complete response or an error. An
// error never claims that a request did not run if it may have run.
package receiver
