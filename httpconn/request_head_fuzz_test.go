package httpconn

import (
	"bytes"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	requestLine = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^ ]+) HTTP/1\\.([01])$")
	oneLength   = regexp.MustCompile(`^[0-9]{1,18}$`)
	// strictChunkSize is a size with extensions, of which no control byte but a tab is
	// part.
	strictChunkSize = regexp.MustCompile(`^([0-9A-Fa-f]{1,15})(?:[ \t]*;(.*))?$`)
)

// readRequest is a request as one of the two readers under comparison has read it. end is
// the number of bytes up to the end of its body.
type readRequest struct {
	method, uri, body string
	end               int
}

// strictRequests reads requests by the grammar of RFC 9112, without the code under test,
// until one is malformed or cut.
func strictRequests(data []byte) (requests []readRequest) {
	r := strictReader{data}
	for {
		request, ok := r.request()
		if !ok {
			return requests
		}
		request.end = len(data) - len(r.rest)
		requests = append(requests, request)
	}
}

func (r *strictReader) request() (request readRequest, ok bool) {
	line, ok := r.line()
	match := requestLine.FindStringSubmatch(line)
	if !ok || match == nil || !validText(line) {
		return request, false
	}
	request.method, request.uri = match[1], match[2]
	fields := map[string][]string{}
	for {
		line, ok := r.line()
		if !ok {
			return request, false
		}
		if line == "" {
			break
		}
		field := fieldLine.FindStringSubmatch(line)
		if field == nil || !validText(field[2]) {
			return request, false
		}
		name := strings.ToLower(field[1])
		fields[name] = append(fields[name], strings.Trim(field[2], " \t"))
	}
	lengths, codings, hosts := fields["content-length"], fields["transfer-encoding"], fields["host"]
	switch {
	case len(hosts) > 1, len(hosts) == 0 && match[3] == "1", len(lengths)+len(codings) > 1:
		return request, false
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") || match[3] == "0" {
			return request, false
		}
		request.body, ok = r.strictChunks()
		return request, ok
	case len(lengths) == 1:
		if !oneLength.MatchString(lengths[0]) {
			return request, false
		}
		n, _ := strconv.Atoi(lengths[0])
		if n > len(r.rest) {
			return request, false
		}
		request.body, r.rest = string(r.rest[:n]), r.rest[n:]
	}
	return request, true
}

// endedLine returns the next line, which has to end with CR LF.
func (r *strictReader) endedLine() (string, bool) {
	line, rest, ok := bytes.Cut(r.rest, []byte("\n"))
	r.rest = rest
	return strings.TrimSuffix(string(line), "\r"), ok && bytes.HasSuffix(line, []byte("\r"))
}

func (r *strictReader) strictChunks() (body string, ok bool) {
	for {
		line, ok := r.endedLine()
		match := strictChunkSize.FindStringSubmatch(line)
		if !ok || match == nil || !validText(line) {
			return "", false
		}
		size, _ := strconv.ParseInt(match[1], 16, 64)
		if size == 0 {
			break
		}
		if size > int64(len(r.rest)) {
			return "", false
		}
		body += string(r.rest[:size])
		r.rest = r.rest[size:]
		if end, ok := r.endedLine(); !ok || end != "" {
			return "", false
		}
	}
	for {
		line, ok := r.endedLine()
		switch {
		case !ok:
			return "", false
		case line == "":
			return body, true
		case fieldLine.FindStringSubmatch(line) == nil || !validText(line):
			return "", false
		}
	}
}

// bytesConn is a connection from which fixed bytes are read.
type bytesConn struct {
	net.Conn
	r *bytes.Reader
}

func (c *bytesConn) Read(p []byte) (int, error)      { return c.r.Read(p) }
func (c *bytesConn) Write(p []byte) (int, error)     { return len(p), nil }
func (c *bytesConn) SetReadDeadline(time.Time) error { return nil }

// nodeRequests reads requests as a connection of the node does.
func nodeRequests(data []byte) (requests []readRequest) {
	const maxBody = 1 << 20
	input := bytes.NewReader(data)
	c := newServerConn(&Server{Names: testNames, DefaultTimeout: time.Second}, &bytesConn{r: input})
	for {
		c.limitedReader.N = 1 << 20
		r, _, err := c.readRequest(maxBody)
		if err != nil {
			return requests
		}
		requests = append(requests, readRequest{r.message.Method, r.message.URI, string(r.message.Body), len(data) - input.Len() - c.br.Buffered()})
	}
}

// Guards against a request whose end the node sees elsewhere than the grammar does: what
// the node accepts has to be what the grammar reads, byte for byte.
func FuzzRequestFollowsGrammar(f *testing.F) {
	for _, forms := range []map[string]string{malformedRequests, properRequests} {
		for _, request := range forms {
			f.Add([]byte(request + smuggled))
			f.Add([]byte(smuggled + request))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		strict, accepted := strictRequests(data), nodeRequests(data)
		require.LessOrEqual(t, len(accepted), len(strict), "%q", data)
		for i, r := range accepted {
			require.Equal(t, strict[i], r, "%q", data)
		}
	})
}
