package httpconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/message"
)

// parsedRequest is a request and the values that its connection needs.
type parsedRequest struct {
	message *message.Request
	id      string
	close   bool
}

// readRequest reads one request. With an error it returns the status of the
// response, or 0 if the connection ended.
func (c *serverConn) readRequest(maxBody int) (*parsedRequest, int, error) {
	r, err := http.ReadRequest(c.br)
	if err != nil {
		if c.limitedReader.N <= 0 {
			return nil, http.StatusRequestHeaderFieldsTooLarge, errTooLarge
		}
		var netErr net.Error
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
			return nil, 0, err
		}
		return nil, http.StatusBadRequest, err
	}
	c.limitedReader.N = int64(maxBody) + readBufferBytes
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if r.Header.Get("Expect") == "100-continue" && c.inFlight.Load() == 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	body, memory, status, err := c.readBody(r, maxBody)
	if err != nil {
		return nil, status, err
	}
	now := time.Now()
	names := &c.server.Names
	timeout := c.server.DefaultTimeout
	if text := r.Header.Get(names.TimeoutMS); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 || ms > maxTimeoutMS {
			return nil, http.StatusBadRequest, errors.New("invalid timeout: " + strconv.Quote(text))
		}
		timeout = time.Duration(ms * float64(time.Millisecond))
	}
	id, parent := r.Header.Get(names.RequestID), ""
	if c.server.ParentOf != nil {
		parent = c.server.ParentOf(id)
	}
	return &parsedRequest{
		message: &message.Request{
			ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: body, BodyMemory: memory, Arrived: now, Deadline: now.Add(timeout),
			Header:   endToEndFields(r.Header, names.RequestID, names.TimeoutMS, names.CallerService, names.ExpectedTarget),
			ParentID: parent,
		},
		id:    id,
		close: r.Close,
	}, 0, nil
}

// readBody reads the body of a request. With an error it returns the status of the
// response, or 0 if the connection ended.
func (c *serverConn) readBody(r *http.Request, maxBody int) ([]byte, *bytebudget.Reservation, int, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil, 0, nil
	}
	body, memory, err := bytebudget.ReadBody(r.Body, r.ContentLength, maxBody, c.server.BodyMemory)
	switch {
	case errors.Is(err, bytebudget.ErrTooLarge):
		return nil, nil, http.StatusRequestEntityTooLarge, err
	case errors.Is(err, bytebudget.ErrExhausted):
		return nil, nil, http.StatusServiceUnavailable, err
	}
	return body, memory, 0, err
}

// maxTimeoutMS is the largest timeout that a request may state, one day.
const maxTimeoutMS = 24 * 3600 * 1000
