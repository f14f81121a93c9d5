// Package httpresponse decides what is a response in HTTP/1.1 and whether it is complete, for all clients of this program.
// net/http accepts more than a proxy may pass on.
package httpresponse

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that something was received which is no response in HTTP/1.1. Nothing that follows it on the
// connection can be trusted. The text of an error has no more than a part of what was received, since it is logged.
var ErrMalformed = errors.New("malformed response")

// Validate returns an error that wraps ErrMalformed unless the head of a response, final or interim, is well-formed. It also
// makes the response's body fail at its end after a malformed trailer. After either, it closes the connection by closeConn.
func Validate(r *http.Response, closeConn func()) error {
	if err := validateHead(r); err != nil {
		closeConn()
		return err
	}
	if len(r.TransferEncoding) > 0 {
		r.Body = &validatedBody{r.Body, r, closeConn}
	}
	return nil
}

func validateHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %.32q", ErrMalformed, r.Proto)
	}
	if !httpguts.ValidHeaderFieldValue(r.Status) {
		return fmt.Errorf("%w: control byte in the status %.32q", ErrMalformed, r.Status)
	}
	if !isInterimStatus(r.StatusCode) && !isFinalStatus(r.StatusCode) {
		return fmt.Errorf("%w: status %.32q", ErrMalformed, r.Status)
	}
	return validateFields(r.Header)
}

// ValidateFinal returns an error that wraps ErrMalformed unless a status and a header are those of a final response.
func ValidateFinal(status int, h http.Header) error {
	if !isFinalStatus(status) {
		return fmt.Errorf("%w: status %d", ErrMalformed, status)
	}
	return validateFields(h)
}

// isInterimStatus reports whether another response follows one with the given status. No request of this program asks to
// switch protocols.
func isInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// isFinalStatus reports whether a status is in one of the classes of final responses. net/http parses others too.
func isFinalStatus(status int) bool { return status >= http.StatusOK && status < 600 }

// validateFields returns an error that wraps ErrMalformed if a field has a name or a value that is not allowed. net/http
// accepts names with a blank, and does not recognise the fields: Content-Length followed by a blank delimits nothing.
func validateFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.32q", ErrMalformed, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: value of field %.32q", ErrMalformed, name)
			}
		}
	}
	return nil
}

// validatedBody checks the trailer of a response, which is known once its body was read.
type validatedBody struct {
	io.ReadCloser
	response  *http.Response
	closeConn func()
}

// Read implements io.Reader.
func (b *validatedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := validateFields(b.response.Trailer); invalid != nil {
		b.closeConn()
		return n, invalid
	}
	return n, err
}
