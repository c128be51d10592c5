// Package forwarder sends requests to backend servers over HTTP/1.1.
//
// Unlike the transport of net/http it never sends a request twice by itself,
// tells whether a byte of a request may have left, and recognises answers that
// belong to another request.
package forwarder
