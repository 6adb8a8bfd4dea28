package mesh

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// maxReturnShare is the part of a caller's time left after which it should
	// have come back, so that the second attempt still has most of it.
	maxReturnShare = 0.3
	// minReturn is the shortest time after which a caller is asked to come back.
	minReturn = 20 * time.Millisecond
)

// failureBody is the body of a node's own response.
type failureBody struct {
	Kind     kind.Kind     `json:"kind"`
	RunState kind.RunState `json:"run_state"`
	Detail   string        `json:"detail,omitempty"`
}

// answer turns a failure into a response. Status 503 says that the request has
// not run and never will; 502 and 504 say nothing about it.
func answer(f *kind.Error, left time.Duration, spread float64) *message.Response {
	row := kind.ResponseFor(f.Kind)
	r := &message.Response{Status: row.Status}
	switch {
	case f.Kind == kind.Canceled:
		r.Status = http.StatusBadGateway
	case f.Kind == kind.Quarantined && f.Run == kind.NotRun:
		// Not 403, which says that the caller may not send such requests.
		r.Status = http.StatusServiceUnavailable
	case f.Run == kind.NotRun && row.Status >= http.StatusInternalServerError, row.Status == http.StatusTooManyRequests && f.Run == kind.NotRun:
		r.Status = http.StatusServiceUnavailable
		r.RetryAfter = returnAfter(f, row, left, spread)
	case f.Run != kind.NotRun && (row.Status == http.StatusServiceUnavailable || row.Status < http.StatusInternalServerError):
		r.Status = http.StatusBadGateway
	}
	body, err := json.Marshal(failureBody{f.Kind, f.Run, f.Detail})
	if err == nil {
		r.Body = body
		r.Header = []message.Field{{Name: "Content-Type", Value: "application/json"}}
	}
	return r
}

// returnAfter spreads the callers that were refused together over the time in
// which they may come back. spread is a random number from 0 to 1.
func returnAfter(f *kind.Error, row kind.Response, left time.Duration, spread float64) time.Duration {
	wanted := row.RetryAfter
	if f.RetryAfter > 0 {
		wanted = f.RetryAfter
	}
	if wanted <= 0 {
		return 0
	}
	longest := time.Duration(float64(left) * maxReturnShare)
	after := time.Duration(float64(min(wanted, longest)) * (0.5 + spread/2))
	return max(after, minReturn)
}
