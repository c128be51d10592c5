// Package follower replicates the configuration and the fleet map from the
// streams of the platform's log service. A VM that cannot read the log catches
// up from records or state relayed by peers.
package follower
