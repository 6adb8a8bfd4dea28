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
	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Bounds of one request. A record may hold a whole configuration snapshot.
const (
	MaxRecordBytes   = 12 << 20
	MaxAppendRecords = 1024
	MaxReadRecords   = 1024
	// MaxReadWait bounds how long a read may wait for records.
	MaxReadWait = time.Minute
	// maxBodyBytes leaves room for the base64 form of one largest record.
	maxBodyBytes = 18 << 20
	// maxErrorBytes is how much of an error response is repeated in the error.
	maxErrorBytes = 200
)

// DefaultTimeout bounds an append, and a read beyond the time it may wait.
const DefaultTimeout = 3 * time.Second

// dialTimeout is short because the log service is in the same region.
const dialTimeout = time.Second

var streamPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,199}$`)

// ValidStream reports whether name can name a stream.
func ValidStream(name string) bool { return streamPattern.MatchString(name) }

// HTTPOptions configures an HTTPClient.
type HTTPOptions struct {
	// URL is the base URL of the log service, such as http://10.0.0.1:8090.
	URL string
	// Timeout replaces DefaultTimeout when positive.
	Timeout time.Duration
	// Transport replaces the client's own transport; tests use it.
	Transport http.RoundTripper
}

// HTTPClient speaks the HTTP protocol of the log service. Its errors have kind
// log-unavailable. Their run state is not-run if the append certainly had no
// effect, and may-have-run otherwise.
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
	client := &http.Client{Transport: o.Transport}
	base := sling.New().Client(client).Base(strings.TrimSuffix(o.URL, "/") + "/").ResponseDecoder(decoder{})
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
	var out AppendResponse
	s := c.base.New().Post(path(stream)).BodyJSON(AppendRequest{Records: data})
	if err := c.do(ctx, s, c.timeout, &out); err != nil {
		return 0, err
	}
	return out.First, nil
}

// Read implements Client.
func (c *HTTPClient) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (Batch, error) {
	if !ValidStream(stream) {
		return Batch{}, badRequest("stream", stream, "lower-case letters, digits, dots and hyphens")
	}
	maxRecords = min(max(maxRecords, 1), MaxReadRecords)
	wait = min(max(wait, 0), MaxReadWait)
	for {
		var out ReadResponse
		s := c.base.New().Get(path(stream)).QueryStruct(ReadQuery{From: from, Max: maxRecords, WaitMS: wait.Milliseconds()})
		err := c.do(ctx, s, c.timeout+wait, &out)
		if errors.Is(err, errTooLarge) && maxRecords > 1 {
			// Many large records do not fit in one response; one always does.
			maxRecords /= 8
			continue
		}
		if err != nil {
			return Batch{}, err
		}
		return out.batch(from)
	}
}

// batch checks the order of the records, since callers rely on it.
func (r *ReadResponse) batch(from uint64) (Batch, error) {
	b := Batch{Next: r.Next, Earliest: r.Earliest}
	for _, v := range r.Records {
		if v.Offset < from || v.Offset >= r.Next {
			return Batch{}, kind.Newf(kind.LogUnavailable, "the response holds record %d outside the range from %d to %d", v.Offset, from, r.Next)
		}
		from = v.Offset + 1
		b.Records = append(b.Records, Record{Offset: v.Offset, Time: time.UnixMilli(v.TimeMS).UTC(), Data: v.Data})
	}
	return b, nil
}

// CheckAppend returns an error of kind too-large or malformed for an append
// that no log service accepts.
func CheckAppend(stream string, data [][]byte) error {
	if !ValidStream(stream) {
		return badRequest("stream", stream, "lower-case letters, digits, dots and hyphens")
	}
	if len(data) == 0 || len(data) > MaxAppendRecords {
		return badRequest("records", strconv.Itoa(len(data)), fmt.Sprintf("1 to %d records", MaxAppendRecords))
	}
	total := 0
	for _, d := range data {
		total += len(d)
	}
	if total > MaxRecordBytes {
		return kind.Newf(kind.TooLarge, "an append of %d bytes, at most %d are allowed", total, MaxRecordBytes)
	}
	return nil
}

func badRequest(field, value, allowed string) error {
	e := kind.New(kind.Malformed, "log request")
	e.Fields = []kind.FieldError{{Field: field, Value: value, Allowed: allowed}}
	return e
}

func path(stream string) string { return "streams/" + stream + "/records" }

// do sends one request within the time limit and reads its whole response.
func (c *HTTPClient) do(ctx context.Context, s *sling.Sling, limit time.Duration, out any) error {
	req, err := s.Request()
	if err != nil {
		return kind.Newf(kind.LogUnavailable, "%v", err).WithRun(kind.NotRun)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var failure string
	resp, err := s.Do(req.WithContext(ctx), out, &failure)
	if err != nil {
		run := kind.MayHaveRun
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
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
	return kind.Newf(kind.LogUnavailable, "status %d: %s", resp.StatusCode, failure)
}

var errTooLarge = errors.New("response larger than the bound")

// decoder reads a bounded response: JSON on success, text otherwise.
type decoder struct{}

// Decode implements sling.ResponseDecoder.
func (decoder) Decode(resp *http.Response, v any) error {
	failure, failed := v.(*string)
	bound := int64(maxBodyBytes)
	if failed {
		bound = maxErrorBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bound+1))
	if err != nil {
		return err
	}
	if failed {
		*failure = strings.ToValidUTF8(strings.TrimSpace(string(body[:min(len(body), maxErrorBytes)])), "")
		return nil
	}
	if int64(len(body)) > bound {
		// sling drains what is left of a body; closing it first avoids that.
		_ = resp.Body.Close()
		return errTooLarge
	}
	return json.Unmarshal(body, v)
}
