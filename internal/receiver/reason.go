package receiver

//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=kebab -text

// Reason is why a request ended as it did.
type Reason int

// The reasons.
const (
	// ReasonAnswered means that an instance's answer was returned.
	ReasonAnswered Reason = iota
	// ReasonNoConfiguration means that this VM knows no configuration yet.
	ReasonNoConfiguration
	// ReasonNoRoute means that no route has the host and path.
	ReasonNoRoute
	// ReasonUnknownKey means that no client account has the key.
	ReasonUnknownKey
	// ReasonStale means that what this VM knows is too old to act on it.
	ReasonStale
	// ReasonOverRate means that the client account is beyond its rate.
	ReasonOverRate
	// ReasonBadBody means that the caller's body could not be read.
	ReasonBadBody
	// ReasonTooLarge means that the body is beyond the limit.
	ReasonTooLarge
	// ReasonNoInstance means that no instance can be tried, and none ran the request.
	ReasonNoInstance
	// ReasonShed means that instances refused the request and no retry was left; none ran it.
	ReasonShed
	// ReasonBroken means that an instance may have run the request and gave no whole answer.
	ReasonBroken
	// ReasonTimeout means that the time was up while the request was at an instance.
	ReasonTimeout
	// ReasonCanceled means that the caller left.
	ReasonCanceled
)

// notRun reports whether the reason implies that no instance ran the request.
func (i Reason) notRun() bool {
	switch i {
	case ReasonNoConfiguration, ReasonStale, ReasonOverRate, ReasonNoInstance, ReasonShed, ReasonNoRoute, ReasonUnknownKey,
		ReasonBadBody, ReasonTooLarge:
		return true
	case ReasonAnswered, ReasonBroken, ReasonTimeout, ReasonCanceled:
	}
	return false
}
