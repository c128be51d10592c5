// Package receiver serves the requests of callers: it finds route and client
// account, holds the account to its rate, sends the request to instances, and
// returns the one whole answer or an honest refusal.
package receiver
