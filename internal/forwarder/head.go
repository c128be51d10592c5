package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"

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

// CheckFieldNames returns an error that wraps ErrFieldName unless the names of all fields are tokens (RFC 9110, section 5.1).
func CheckFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &quotingError{ErrFieldName.Error(), errors.Wrapf(ErrFieldName, "%q", name)}
		}
	}
	return nil
}

// IsNoResponse reports whether an error is of bytes that are no response, whose connection must not be used again.
func IsNoResponse(err error) bool { return errors.IsAny(err, ErrFieldName, ErrNoStatus) }

// quotingError hides what an error quotes of a response: callers see the text of errors, and what was read may belong to another
// caller.
type quotingError struct {
	text  string
	cause error
}

// Error implements error.
func (e *quotingError) Error() string { return e.text }

// Unwrap returns the error that quotes.
func (e *quotingError) Unwrap() error { return e.cause }

// HideQuotes returns an error of reading a response, without what net/http quotes of it with %q.
func HideQuotes(err error) error {
	if err == nil || !strings.Contains(err.Error(), `"`) {
		return err
	}
	return &quotingError{"the answer is malformed", err}
}

// maxQuoted bounds the text of Quoted, in bytes.
const maxQuoted = 200

// Quoted returns the error that HideQuotes or CheckFieldNames has hidden, cut to maxQuoted bytes; it is empty if there is none.
func Quoted(err error) string {
	var q *quotingError
	if !errors.As(err, &q) {
		return ""
	}
	text := q.cause.Error()
	return text[:min(len(text), maxQuoted)]
}
