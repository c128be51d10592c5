// Package recorder stores the records that make a request with an idempotency
// key run at most once, whichever VMs receive its attempts.
//
// The records of a key are replicated on three VMs, its holders, in different
// failure domains. The fleet map determines the holders. An attempt runs only
// if two of them recorded it as new, so the loss of one holder is tolerated
// and two attempts cannot both run. A VM that becomes a holder by a map change
// first copies the records from enough earlier holders to have every record
// that two of them had, and refuses attempts until then.
package recorder
