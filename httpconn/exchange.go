package httpconn

import "github.com/goldcrestsail/goldcrestsail/message"

// exchange is a request on a caller's connection and its response.
type exchange struct {
	requestID string
	response  *message.Response
	done      chan struct{}
	// closeAfter reports that the connection is closed after the response.
	closeAfter bool
}
