package httphead

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterimResponses bounds the interim responses of a request: net/http has no bound of
// its own for a request with a hook that sees them.
const maxInterimResponses = 8

// Transport is a round tripper that fails a request whose response has a malformed head or
// trailer, and closes its connection. Errors of RoundTrip and of reading the body have
// class ErrMalformed then.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	interim := 0
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
			if interim++; interim > maxInterimResponses {
				return malformed("more than %d interim responses", maxInterimResponses)
			}
			return CheckFields(http.Header(fields))
		},
	}
	response, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		t.drop(conn, response)
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &checkedBody{response.Body, response, func() { t.drop(conn, response) }}
	return response, nil
}

// drop drops the connection of a malformed response. Base may hold it as idle already: it
// does so when it has read the last byte of the body, before the trailer is checked. To
// close it does not take it out of Base at once, so that the idle connections are closed
// too. A connection of HTTP/2 carries other requests and stays.
func (t *Transport) drop(conn net.Conn, response *http.Response) {
	if conn == nil || response.ProtoMajor != 1 {
		return
	}
	t.CloseIdleConnections()
	_ = conn.Close()
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
	// drop drops the connection of the response.
	drop func()
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := CheckFields(b.response.Trailer); malformed != nil {
			b.drop()
			err = malformed
		}
	}
	return n, err
}
