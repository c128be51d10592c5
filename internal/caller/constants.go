package caller

import "time"

const (
	// PathAddresses is the path of the list of addresses that callers may use.
	PathAddresses = "/-/addresses"
	// HeaderOutcome carries the outcome of a request: answered, not-run or unknown.
	HeaderOutcome = "X-Outcome"
	// HeaderReason carries the reason for a refusal.
	HeaderReason = "X-Reason"
	// HeaderTimeout carries how long the caller waits, in milliseconds; it can only shorten the route's timeout.
	HeaderTimeout = "X-Request-Timeout-Ms"
	// HeaderKey carries the API key; it takes precedence over a bearer token in Authorization.
	HeaderKey = "X-Api-Key"
	// HeaderIdempotencyKey identifies a request that must run at most once over all its attempts.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt carries the number of the attempt; a number above one means a retry.
	HeaderAttempt = "Idempotency-Attempt"

	// maxAddresses bounds the addresses that a caller gets, and addressTTL is how long it may use them.
	maxAddresses = 6
	addressTTL   = 30 * time.Second
	// openRouteWeight is the weight that all callers of open routes share, as a rate in requests per second.
	openRouteWeight = 10.0
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxRetryAfter bounds the Retry-After header of a refusal.
	maxRetryAfter = time.Minute
	// statusClientClosedRequest is the status of a request that its caller canceled. The caller does not read it. 499
	// is not a registered status code.
	statusClientClosedRequest = 499
)
