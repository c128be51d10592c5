// Package router holds one version of the configuration, indexed for request
// handling: the route of a host and path, the client account of a key, the
// services and the limits of callers.
package router
