// Package forwarder sends requests to backend servers over HTTP/1.1.
//
// Unlike http.Transport it never retries a request by itself, reports whether
// any byte of a request may have been sent, and detects responses that belong
// to another request or to an earlier sending of the same one.
package forwarder
