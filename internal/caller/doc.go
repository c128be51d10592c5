// Package caller serves the callers: it tells them which addresses to use and
// takes their requests.
//
// Each refusal names its outcome: "not-run" only when it is certain that no
// backend server started the request, else "unknown". A key is removed from a
// request before it goes anywhere else.
package caller
