package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/goldcrestsail/goldcrestsail/internal/httphead"
	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Limits of one request. A record may hold a whole configuration snapshot.
const (
	MaxRecordBytes   = 12 << 20
	MaxAppendRecords = 1024
	MaxReadRecords   = 1024
	// MaxReadWait bounds how long a read may wait for records.
	MaxReadWait = time.Minute
	// maxBodyBytes leaves room for one record of MaxRecordBytes in base64.
	maxBodyBytes = 18 << 20
	// maxErrorBytes limits the text of an error response that is copied into
	// the returned error.
	maxErrorBytes = 200
)

// DefaultTimeout is the time limit of an append. A read may take this long in
// addition to its wait.
const DefaultTimeout = 3 * time.Second

// dialTimeout is short because the log service is in the same region.
const dialTimeout = time.Second

var streamPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,199}$`)

// ValidStream reports whether name is a valid stream name.
func ValidStream(name string) bool { return streamPattern.MatchString(name) }

// HTTPOptions configures an HTTPClient.
type HTTPOptions struct {
	// URL is the base URL of the log service, such as http://10.0.0.1:8090.
	URL string
	// Timeout is the time limit of an append, see DefaultTimeout, which is used
	// if Timeout is not positive.
	Timeout time.Duration
	// Transport is the transport of requests, by default an http.Transport
	// with a short dial timeout. Tests replace it.
	Transport http.RoundTripper
}

// HTTPClient implements the HTTP protocol of the log service. Its errors have
// kind log-unavailable. Their run state is not-run if the append is known to
// have had no effect, and may-have-run otherwise.
type HTTPClient struct {
	base    *sling.Sling
	timeout time.Duration
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client of the log service at o.URL.
func NewHTTPClient(o HTTPOptions) *HTTPClient {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		}
	}
	client := &http.Client{Transport: &httphead.Transport{Base: o.Transport}}
	base := sling.New().Client(client).Base(strings.TrimSuffix(o.URL, "/") + "/").ResponseDecoder(limitedDecoder{})
	return &HTTPClient{base: base, timeout: o.Timeout}
}

// AppendRequest is the body of an append in the HTTP protocol.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response to an append in the HTTP protocol.
type AppendResponse struct {
	First uint64 `json:"first"`
}

// ReadQuery is the query of a read in the HTTP protocol.
type ReadQuery struct {
	From   uint64 `url:"from"`
	Max    int    `url:"max"`
	WaitMS int64  `url:"wait_ms"`
}

// ReadResponse is the response to a read in the HTTP protocol.
type ReadResponse struct {
	Records  []ReadRecord `json:"records"`
	Next     uint64       `json:"next"`
	Earliest uint64       `json:"earliest"`
}

// ReadRecord is one record of a ReadResponse.
type ReadRecord struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// Append implements Client.
func (c *HTTPClient) Append(ctx context.Context, stream string, data ...[]byte) (uint64, error) {
	if err := CheckAppend(stream, data); err != nil {
		return 0, err
	}
	var response AppendResponse
	s := c.base.New().Post(recordsPath(stream)).BodyJSON(AppendRequest{Records: data})
	if err := c.do(ctx, s, c.timeout, &response); err != nil {
		return 0, err
	}
	return response.First, nil
}

// Read implements Client.
func (c *HTTPClient) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (Batch, error) {
	if !ValidStream(stream) {
		return Batch{}, malformedRequest("stream", stream, "lower-case letters, digits, dots and hyphens")
	}
	maxRecords = min(max(maxRecords, 1), MaxReadRecords)
	wait = min(max(wait, 0), MaxReadWait)
	for {
		var response ReadResponse
		s := c.base.New().Get(recordsPath(stream)).QueryStruct(ReadQuery{From: from, Max: maxRecords, WaitMS: wait.Milliseconds()})
		err := c.do(ctx, s, c.timeout+wait, &response)
		if errors.Is(err, errResponseTooLarge) && maxRecords > 1 {
			// Many large records exceed the response size limit; one record never
			// does.
			maxRecords /= 8
			continue
		}
		if err != nil {
			return Batch{}, err
		}
		return response.toBatch(from)
	}
}

// toBatch checks the order of the records, since callers rely on it.
func (r *ReadResponse) toBatch(from uint64) (Batch, error) {
	b := Batch{Next: r.Next, Earliest: r.Earliest}
	for _, record := range r.Records {
		if record.Offset < from || record.Offset >= r.Next {
			return Batch{}, kind.Newf(kind.LogUnavailable, "the response contains record %d outside the range from %d to %d", record.Offset, from, r.Next)
		}
		from = record.Offset + 1
		b.Records = append(b.Records, Record{Offset: record.Offset, Time: time.UnixMilli(record.TimeMS).UTC(), Data: record.Data})
	}
	return b, nil
}

// CheckAppend returns an error of kind too-large or malformed if the
// stream name, the number of records or the total size is not allowed.
func CheckAppend(stream string, data [][]byte) error {
	if !ValidStream(stream) {
		return malformedRequest("stream", stream, "lower-case letters, digits, dots and hyphens")
	}
	if len(data) == 0 || len(data) > MaxAppendRecords {
		return malformedRequest("records", strconv.Itoa(len(data)), fmt.Sprintf("1 to %d records", MaxAppendRecords))
	}
	totalBytes := 0
	for _, record := range data {
		totalBytes += len(record)
	}
	if totalBytes > MaxRecordBytes {
		return kind.Newf(kind.TooLarge, "append of %d bytes exceeds the limit of %d bytes", totalBytes, MaxRecordBytes)
	}
	return nil
}

func malformedRequest(field, value, allowed string) error {
	e := kind.New(kind.Malformed, "log request")
	e.Fields = []kind.FieldError{{Field: field, Value: value, Allowed: allowed}}
	return e
}

func recordsPath(stream string) string { return "streams/" + stream + "/records" }

// do sends one request and reads its whole response within the timeout.
func (c *HTTPClient) do(ctx context.Context, s *sling.Sling, timeout time.Duration, response any) error {
	req, err := s.Request()
	if err != nil {
		return kind.Newf(kind.LogUnavailable, "%v", err).WithRun(kind.NotRun)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var errorText string
	resp, err := s.Do(req.WithContext(ctx), response, &errorText)
	if err != nil {
		run := kind.MayHaveRun
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			run = kind.NotRun
		}
		return Unavailable(run, err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusTooManyRequests:
		seconds, _ := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 16)
		return RateExceeded(time.Duration(seconds) * time.Second)
	}
	return kind.Newf(kind.LogUnavailable, "status %d: %s", resp.StatusCode, errorText)
}

var errResponseTooLarge = errors.New("response body exceeds the size limit")

// limitedDecoder reads a response of limited size: JSON on success, text
// otherwise.
type limitedDecoder struct{}

// Decode implements sling.ResponseDecoder.
func (limitedDecoder) Decode(resp *http.Response, v any) error {
	errorText, isError := v.(*string)
	limit := int64(maxBodyBytes)
	if isError {
		limit = maxErrorBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if isError {
		*errorText = strings.ToValidUTF8(strings.TrimSpace(string(body[:min(len(body), maxErrorBytes)])), "")
		return nil
	}
	if int64(len(body)) > limit {
		// sling reads the rest of a body before closing it; closing it here
		// avoids that.
		_ = resp.Body.Close()
		return errResponseTooLarge
	}
	return json.Unmarshal(body, v)
}
