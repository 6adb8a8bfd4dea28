package node

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// request is the state of a request at its entry node.
type request struct {
	id         string
	name       policy.ServiceName
	policy     *policy.Policy
	class      *policy.Class
	importance int
	method     string
	path       string
	headers    []*peerrpc.Header
	body       []byte
	// counted reports that the entry limiter counts the request.
	counted bool
	// reservedBytes is the number of bytes reserved for the body in the entry
	// limiter.
	reservedBytes int64
	key           string
	fingerprint   uint64
	deadline      time.Time
	chainID       string
	depth         int
	// services lists the services on the call path, the service of this request
	// last.
	services []string
	// pinned is the only target that may run the request; empty means any.
	pinned routing.TargetID
	// fromClient marks a client's request, as opposed to a sub-call of a chain.
	fromClient bool
}

// skippedRequestHeaders are not forwarded with a request: they are hop-by-hop
// headers, or are set by the node that sends the request to a target.
var skippedRequestHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, chainhttp.HeaderTimeout: true, chainhttp.HeaderKey: true,
	chainhttp.HeaderRequestID: true,
}

// skippedResponseHeaders are not copied from the response of a target.
var skippedResponseHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, chainhttp.HeaderRequestID: true, chainhttp.HeaderKind: true,
	chainhttp.HeaderRunState: true, chainhttp.HeaderReplayed: true, chainhttp.HeaderEffect: true,
}

func malformed(field, value, allowed string) *kind.Error {
	return &kind.Error{Kind: kind.Malformed, Run: kind.NotRun, Fields: []kind.FieldError{{Field: field, Value: value, Allowed: allowed}}}
}

// parseRequest validates r and fills q from it. It reads the body up to the
// limit of the policy.
func (n *Node) parseRequest(q *request, r *http.Request, now time.Time) *kind.Error {
	q.method, q.path = r.Method, r.URL.RequestURI()
	name, err := policy.ParseServiceName(r.Host)
	if err != nil {
		return kind.Of(err)
	}
	q.name = name
	if q.policy = n.policyOf(name); q.policy == nil {
		return kind.Newf(kind.UnknownService, "no policy for %s", name)
	}
	if !strings.HasPrefix(q.path, "/") {
		return malformed("path", q.path, "an absolute path")
	}
	if q.class = q.policy.Classify(r.Method, r.URL.Path); q.class == nil {
		return malformed("path", r.Method+" "+r.URL.Path, "a request that a class of the policy matches")
	}
	q.importance = q.class.Importance
	if failure := n.entryLimiter.enter(q.importance); failure != nil {
		return failure
	}
	q.counted = true
	if q.deadline, err = parseDeadline(r, q.class, now); err != nil {
		return kind.Of(err)
	}
	q.key = r.Header.Get(chainhttp.HeaderKey)
	if q.class.NonIdempotent && q.key == "" {
		return kind.Newf(kind.KeyRequired, "class %s needs an %s header", q.class.Name, chainhttp.HeaderKey)
	}
	if failure := n.readBody(q, r); failure != nil {
		return failure
	}
	q.headers = copyHeaders(r.Header, skippedRequestHeaders)
	q.fingerprint = q.computeFingerprint()
	return nil
}

func parseDeadline(r *http.Request, class *policy.Class, now time.Time) (time.Time, error) {
	timeout := class.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if value := r.Header.Get(chainhttp.HeaderTimeout); value != "" {
		given, ok := chainhttp.ParseTimeout(value)
		if !ok {
			return time.Time{}, malformed(chainhttp.HeaderTimeout, value, "milliseconds from 1 to 600000")
		}
		timeout = given
	}
	return now.Add(timeout), nil
}

func (n *Node) readBody(q *request, r *http.Request) *kind.Error {
	limit := q.policy.MaxRequestBytes
	if r.ContentLength > limit {
		return kind.Newf(kind.TooLarge, "body of %d bytes, want at most %d", r.ContentLength, limit)
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if failure := n.entryLimiter.reserve(reserved); failure != nil {
		return failure
	}
	q.reservedBytes = reserved
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return malformed("body", err.Error(), "a complete body")
	}
	if int64(len(body)) > limit {
		return kind.Newf(kind.TooLarge, "body above %d bytes", limit)
	}
	q.body = body
	return nil
}

// computeFingerprint returns a hash of service, method, path and body. The key is
// left out, so that a repeat with a new key has the same fingerprint.
func (q *request) computeFingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{q.name.Customer, q.name.Service, q.method, q.path} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	d.Write(q.body)
	return d.Sum64()
}

func copyHeaders(from http.Header, skip map[string]bool) []*peerrpc.Header {
	var headers []*peerrpc.Header
	for name, values := range from {
		if skip[name] {
			continue
		}
		for _, v := range values {
			headers = append(headers, &peerrpc.Header{Name: name, Value: v})
		}
	}
	return headers
}
