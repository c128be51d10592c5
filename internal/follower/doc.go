// Package follower follows the platform's log service: the configuration and
// the fleet map, from the log itself or relayed by peers.
package follower
