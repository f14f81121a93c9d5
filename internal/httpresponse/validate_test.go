package httpresponse

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against log lines as large as a malformed head.
func TestValidate_ErrorsAreShort(t *testing.T) {
	const maxText = 256
	large := strings.Repeat("\x00 ", 32<<10)
	valid := func() *http.Response {
		return &http.Response{ProtoMajor: 1, Proto: "HTTP/1.1", Status: "200 OK", StatusCode: http.StatusOK, Header: http.Header{}}
	}
	require.NoError(t, Validate(valid(), func() { t.Error("the connection is closed") }))
	for name, change := range map[string]func(r *http.Response){
		"version":                           func(r *http.Response) { r.ProtoMajor, r.Proto = 2, large },
		"reason":                            func(r *http.Response) { r.Status = "200 " + large },
		"status":                            func(r *http.Response) { r.StatusCode, r.Status = 0, "000 "+strings.Repeat("x", 32<<10) },
		"field name":                        func(r *http.Response) { r.Header[large] = []string{"a"} },
		"field value":                       func(r *http.Response) { r.Header["A"] = []string{large} },
		"value of a field with a long name": func(r *http.Response) { r.Header[strings.Repeat("a", 32<<10)] = []string{large} },
	} {
		t.Run(name, func(t *testing.T) {
			r := valid()
			change(r)
			closed := false
			err := Validate(r, func() { closed = true })
			require.True(t, closed)
			require.ErrorIs(t, err, ErrMalformed)
			require.Less(t, len(err.Error()), maxText)
		})
	}
}
