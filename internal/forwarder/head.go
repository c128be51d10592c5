package forwarder

import (
	"net/http"
	"net/textproto"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrFieldName is returned for bytes that look like a response, but in whose head a field has a name that no field can have, such as
// one with a blank, which net/http accepts. The field may be a length that another reader sees, so they are no response, and nothing
// behind them on their connection belongs to a request.
var ErrFieldName = errors.New("the answer has a field with an invalid name")

// CheckHead returns an error that wraps ErrFieldName or ErrNoStatus unless a response has a head that a final response may have.
func CheckHead(httpResp *http.Response) error {
	if err := CheckFieldNames(httpResp.Header); err != nil {
		return err
	}
	return CheckStatus(httpResp)
}

// CheckInterim is CheckHead for an interim response, as a hook of httptrace.ClientTrace.
func CheckInterim(_ int, header textproto.MIMEHeader) error {
	return CheckFieldNames(http.Header(header))
}

// CheckFieldNames returns ErrFieldName unless the names of all fields are tokens (RFC 9110, section 5.1).
func CheckFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrFieldName
		}
	}
	return nil
}

// IsNoResponse reports whether an error is of bytes that are no response, whose connection must not be used again.
func IsNoResponse(err error) bool { return errors.IsAny(err, ErrFieldName, ErrNoStatus) }
