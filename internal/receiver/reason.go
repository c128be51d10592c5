package receiver

//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=kebab -text

// Reason is the cause of a request's result.
type Reason int

// The reasons.
const (
	// ReasonAnswered means that an instance's response was returned.
	ReasonAnswered Reason = iota
	// ReasonNoConfiguration means that this VM has no configuration yet.
	ReasonNoConfiguration
	// ReasonNoRoute means that no route matches the host and path.
	ReasonNoRoute
	// ReasonUnknownKey means that no client account has the key.
	ReasonUnknownKey
	// ReasonStale means that what this VM knows is too old: its configuration to accept a key or to deny the request, or its view
	// of the instances to send it.
	ReasonStale
	// ReasonStopping means that this VM stops before the request's deadline; no instance ran it.
	ReasonStopping
	// ReasonOverRate means that the client account exceeded its rate.
	ReasonOverRate
	// ReasonBadBody means that the caller's body could not be read.
	ReasonBadBody
	// ReasonTooLarge means that the body exceeds the configured limit.
	ReasonTooLarge
	// ReasonNoInstance means that no instance was left to try or none could be reached; none ran the request.
	ReasonNoInstance
	// ReasonLimited means that the limits of all usable instances were reached, or they wanted no requests; none ran it.
	ReasonLimited
	// ReasonShed means that instances refused the request and no retry was left; none ran it.
	ReasonShed
	// ReasonNoRoom means that the service was short of room and other requests went first; no instance got it.
	ReasonNoRoom
	// ReasonBroken means that an instance may have run the request but returned no complete, genuine response.
	ReasonBroken
	// ReasonTimeout means that the deadline passed after the request was sent to an instance.
	ReasonTimeout
	// ReasonCanceled means that the caller disconnected.
	ReasonCanceled
)

// notRun reports whether the reason implies that no instance ran the request.
func (i Reason) notRun() bool {
	switch i {
	case ReasonNoConfiguration, ReasonStale, ReasonStopping, ReasonOverRate, ReasonNoInstance, ReasonLimited, ReasonShed, ReasonNoRoom, ReasonNoRoute, ReasonUnknownKey,
		ReasonBadBody, ReasonTooLarge:
		return true
	case ReasonAnswered, ReasonBroken, ReasonTimeout, ReasonCanceled:
	}
	return false
}
