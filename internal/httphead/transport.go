package httphead

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterimResponses bounds the interim responses of a request: net/http has no bound of
// its own for a request with a hook that sees them.
const maxInterimResponses = 8

// Transport is a round tripper that fails a request whose response has a malformed head or
// trailer. Errors of RoundTrip and of reading the body have class ErrMalformed then.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
		if interim++; interim > maxInterimResponses {
			return malformed("more than %d interim responses", maxInterimResponses)
		}
		return CheckFields(http.Header(fields))
	}}
	response, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &checkedBody{response.Body, response}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkedBody checks the trailer at the end of a body.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := CheckFields(b.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}
