package mesh

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// maxRetryAfterShare bounds Retry-After to this share of the caller's
	// remaining time, so that most of it is left for the second attempt.
	maxRetryAfterShare = 0.3
	// minRetryAfter is the shortest Retry-After that is sent.
	minRetryAfter = 20 * time.Millisecond
)

// failureBody is the JSON body of a response that the node generates itself.
type failureBody struct {
	Kind     kind.Kind     `json:"kind"`
	RunState kind.RunState `json:"run_state"`
	Detail   string        `json:"detail,omitempty"`
}

// failureResponse maps a failure to an HTTP response. Status 503 guarantees
// that the request has not run and never will; 502 and 504 say nothing about
// it.
func failureResponse(failure *kind.Error, timeLeft time.Duration, jitter float64) *message.Response {
	entry := kind.ResponseFor(failure.Kind)
	response := &message.Response{Status: entry.Status}
	switch {
	case failure.Kind == kind.Canceled:
		response.Status = http.StatusBadGateway
	case failure.Kind == kind.Quarantined && failure.Run == kind.NotRun:
		// Not 403, which would mean that the caller is not permitted to send
		// such requests. It gains nothing by coming back.
		response.Status = http.StatusServiceUnavailable
		response.RetryAfter = max(time.Duration(float64(timeLeft)*maxRetryAfterShare), minRetryAfter)
	case failure.Run == kind.NotRun && entry.Status >= http.StatusInternalServerError, entry.Status == http.StatusTooManyRequests && failure.Run == kind.NotRun:
		response.Status = http.StatusServiceUnavailable
		response.RetryAfter = retryAfter(failure, entry, timeLeft, jitter)
	case failure.Run != kind.NotRun && (entry.Status == http.StatusServiceUnavailable || entry.Status < http.StatusInternalServerError):
		response.Status = http.StatusBadGateway
	}
	body, err := json.Marshal(failureBody{failure.Kind, failure.Run, failure.Detail})
	if err == nil {
		response.Body = body
		response.Header = []message.Field{{Name: "Content-Type", Value: "application/json"}}
	}
	return response
}

// retryAfter computes the Retry-After of a refused request. It adds jitter so
// that callers that were refused together do not return together. jitter is a
// random number from 0 to 1.
func retryAfter(failure *kind.Error, entry kind.Response, timeLeft time.Duration, jitter float64) time.Duration {
	delay := entry.RetryAfter
	if failure.RetryAfter > 0 {
		delay = failure.RetryAfter
	}
	if delay <= 0 {
		return 0
	}
	maxDelay := time.Duration(float64(timeLeft) * maxRetryAfterShare)
	jittered := time.Duration(float64(min(delay, maxDelay)) * (0.5 + jitter/2))
	return max(jittered, minRetryAfter)
}
