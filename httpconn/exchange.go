package httpconn

import "github.com/goldcrestsail/goldcrestsail/message"

// exchange is one request on a caller's connection and its response.
type exchange struct {
	requestID string
	response  *message.Response
	done      chan struct{}
	// last closes the connection after the response.
	last bool
}
