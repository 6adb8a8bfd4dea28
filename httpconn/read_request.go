package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/internal/httphead"
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
	r, framing, err := c.readHead()
	if err != nil {
		if c.limitedReader.N <= 0 {
			return nil, http.StatusRequestHeaderFieldsTooLarge, errTooLarge
		}
		return nil, statusOfReadError(err), err
	}
	c.limitedReader.N = int64(maxBody) + readBufferBytes
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if r.Header.Get("Expect") == "100-continue" && c.inFlight.Load() == 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0, err
		}
	}
	body, memory, status, err := c.readBody(framing, maxBody)
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

// readHead reads the head of a request and returns it with the framing of its body. The
// head is read in whole and checked first: net/http accepts framings that another
// recipient reads differently, so that a part of one request could pass for another one.
func (c *serverConn) readHead() (*http.Request, httphead.Framing, error) {
	if c.head = c.head[:0]; cap(c.head) > readBufferBytes {
		// A connection does not keep the memory of a long head.
		c.head = nil
	}
	for {
		begin := len(c.head)
		if err := c.appendLine(); err != nil {
			return nil, httphead.Framing{}, err
		}
		if line := c.head[begin:]; len(line) <= len("\r\n") && len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
	}
	head := string(c.head)
	framing, err := httphead.CheckRequestHead(head)
	if err != nil {
		return nil, framing, err
	}
	c.headReader.Reset(strings.NewReader(head))
	r, err := http.ReadRequest(c.headReader)
	if err != nil {
		err = fmt.Errorf("%w: %w", httphead.ErrMalformed, err)
	}
	return r, framing, err
}

// appendLine appends the next line of the connection to the head.
func (c *serverConn) appendLine() error {
	for {
		part, err := c.br.ReadSlice('\n')
		c.head = append(c.head, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// statusOfReadError returns the status of the response to a request that could not be
// read, or 0 if the connection has ended.
func statusOfReadError(err error) int {
	switch {
	case errors.Is(err, httphead.ErrMalformed):
		return http.StatusBadRequest
	case errors.Is(err, bytebudget.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, bytebudget.ErrExhausted):
		return http.StatusServiceUnavailable
	}
	return 0
}

// readBody reads the body of a request. With an error it returns the status of the
// response, or 0 if the connection ended.
func (c *serverConn) readBody(framing httphead.Framing, maxBody int) ([]byte, *bytebudget.Reservation, int, error) {
	var body io.Reader
	expected := framing.Length
	switch {
	case framing.Chunked:
		body, expected = httphead.NewChunkedReader(c.br, maxTrailerBytes), -1
	case framing.Length == 0:
		return nil, nil, 0, nil
	default:
		body = &lengthReader{c.br, framing.Length}
	}
	b, memory, err := bytebudget.ReadBody(body, expected, maxBody, c.server.BodyMemory)
	return b, memory, statusOfReadError(err), err
}

// maxTrailerBytes bounds the trailer of a chunked body, which is not forwarded.
const maxTrailerBytes = 4 << 10

// maxTimeoutMS is the largest timeout that a request may state, one day.
const maxTimeoutMS = 24 * 3600 * 1000
