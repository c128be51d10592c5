package forwarder

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrNoStatus is returned for bytes that look like a response, but whose status no response to a request can have. They are no
// response, and nothing behind them on their connection belongs to a request.
var ErrNoStatus = errors.New("the answer has no valid status")

// CheckStatus returns an error that wraps ErrNoStatus unless a response has a status that a final response may have.
func CheckStatus(httpResp *http.Response) error {
	if IsFinal(httpResp.StatusCode) {
		return nil
	}
	return errors.Wrapf(ErrNoStatus, "status %.3q", httpResp.Status)
}

// IsFinal reports whether a status is one of a final response. Nobody asks for a switch of protocols.
func IsFinal(status int) bool { return status >= http.StatusOK && status < 600 }

// isInterim reports whether a status is that of an interim response, which the final one follows.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
