package httpconn

import (
	"net/http"

	"github.com/goldcrestsail/goldcrestsail/message"
)

// exchange is a request on a caller's connection and its response.
type exchange struct {
	requestID string
	response  *message.Response
	done      chan struct{}
	// head reports that the request has the method HEAD.
	head bool
	// closeAfter reports that the connection is closed after the response.
	closeAfter bool
}

// body returns the body that follows the head of the response. A response to HEAD, and
// one with status 204 or 304, has none (RFC 9112, section 6.3): the caller would take it
// for the next response.
func (x *exchange) body() []byte {
	if x.head || !statusAllowsBody(x.response.Status) {
		return nil
	}
	return x.response.Body
}

// statesLength reports whether the head of the response has the length of the body. In a
// response to HEAD that is the length that one to GET would have, which is not known of
// what a target has answered.
func (x *exchange) statesLength() bool {
	return statusAllowsBody(x.response.Status) && !(x.head && x.response.FromTarget)
}

func statusAllowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
