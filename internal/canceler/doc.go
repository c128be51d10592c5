// Package canceler cancels HTTP/1 requests whose caller has left. The server of net/http reads a connection while it serves a
// request, and so notices its end, only once the request's body was read and until a byte of the next request arrives.
package canceler
