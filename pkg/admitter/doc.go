// Package admitter decides which requests get the room that a service has, and which of those that failed get the retries that
// there are. It answers demand beyond what the instances of a service take: more urgent requests go first, accounts of one level
// share by their rates, and no level or account is shut out. It has no effect while there is room.
package admitter
