package httpconn

import (
	"net/http"
	"strconv"
)

// appendResponse appends the status line and header fields of a response.
func appendResponse(b []byte, names *HeaderNames, x *exchange) []byte {
	r := x.response
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(r.Status)...)
	b = append(b, "\r\n"...)
	b = appendFields(b, r.Header)
	if x.requestID != "" {
		b = appendField(b, names.RequestID, x.requestID)
	}
	if r.RetryAfter > 0 {
		b = appendField(b, "Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if x.closeAfter {
		b = appendField(b, "Connection", "close")
	}
	if x.statesLength() {
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}
