package httpresponse

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterimBytes bounds the heads of the interim responses to one request.
const maxInterimBytes = 64 << 10

// Transport is an http.Transport that returns only well-formed responses.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: validateInterim()}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Validate(response); err != nil {
		_ = response.Body.Close() // This closes the connection.
		return nil, err
	}
	return response, nil
}

// validateInterim returns a function that validates the interim responses to one request. http.Transport does not bound
// their heads if it passes them to such a function.
func validateInterim() func(status int, h textproto.MIMEHeader) error {
	size := 0
	return func(_ int, h textproto.MIMEHeader) error {
		if size += headSize(h); size > maxInterimBytes {
			return fmt.Errorf("%w: more than %d bytes of interim responses", ErrMalformed, maxInterimBytes)
		}
		return validateFields(http.Header(h))
	}
}

// headSize returns the approximate size of a head in bytes.
func headSize(h textproto.MIMEHeader) int {
	const statusLine, separators = 32, 4
	size := statusLine
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}
