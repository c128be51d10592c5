// Package caller serves the HTTP requests of callers: it lists the addresses
// of the fleet, and it authorizes and admits requests and forwards them to
// dispatchers.
//
// Each refusal states the outcome of the request: "not-run" only if it is
// certain that no backend server started the request, else "unknown". The API
// key is removed from a request before the request is forwarded.
package caller
