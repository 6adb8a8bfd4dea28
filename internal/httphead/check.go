package httphead

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	minStatus, maxStatus = 100, 599
	// maxQuotedBytes bounds the part of a name that an error quotes.
	maxQuotedBytes = 64
)

// ErrMalformed is the class of all errors of this package.
var ErrMalformed = errors.New("malformed head of an HTTP message")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ValidField reports whether a field has a token as its name and no control byte but tabs
// in its value.
func ValidField(name, value string) bool {
	return httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value)
}

// ValidStatus reports whether status is that of a response: 100 to 599.
func ValidStatus(status int) bool { return minStatus <= status && status <= maxStatus }

// CheckFields returns an error of class ErrMalformed if one of the fields of a head or a
// trailer is none.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		for _, value := range values {
			if !ValidField(name, value) {
				return malformed("field %.*q, want a token as its name and no control bytes in its value", maxQuotedBytes, name)
			}
		}
	}
	return nil
}

// CheckHTTP1Response returns an error of class ErrMalformed if CheckResponse does, or if the
// response states another major version than 1.
func CheckHTTP1Response(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return malformed("version %s, want HTTP/1.x", r.Proto)
	}
	return CheckResponse(r)
}

// CheckResponse returns an error of class ErrMalformed if the head of a response to a
// request without Upgrade is none. The status may be one of an interim response.
func CheckResponse(r *http.Response) error {
	switch {
	case !ValidStatus(r.StatusCode):
		return malformed("status %03d, want %d to %d", r.StatusCode, minStatus, maxStatus)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return malformed("status %d, though no other protocol was asked for", r.StatusCode)
	case !httpguts.ValidHeaderFieldValue(r.Status):
		return malformed("a control byte in the reason of status %d", r.StatusCode)
	}
	return CheckFields(r.Header)
}
