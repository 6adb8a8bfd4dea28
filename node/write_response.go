package node

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
)

// problem is the problem details body of an error response (RFC 9457).
type problem struct {
	Type      string        `json:"type"`
	Title     string        `json:"title"`
	Status    int           `json:"status"`
	Detail    string        `json:"detail,omitempty"`
	Kind      kind.Kind     `json:"kind"`
	RunState  kind.RunState `json:"run_state"`
	RequestID string        `json:"request_id"`
	Advice    string        `json:"advice"`
}

// writeResponse writes a complete response to the caller.
func writeResponse(w http.ResponseWriter, requestID string, c *peerrpc.CallResponse) {
	if c.Kind != "" {
		writeError(w, requestID, errorOf(c))
		return
	}
	h := w.Header()
	for _, header := range c.Headers {
		h.Add(header.Name, header.Value)
	}
	h.Set(chainhttp.HeaderRequestID, requestID)
	h.Set(chainhttp.HeaderRunState, string(kind.Ran))
	if c.Replayed {
		h.Set(chainhttp.HeaderReplayed, "true")
	}
	if c.Status == http.StatusNoContent || c.Status == http.StatusNotModified {
		// These statuses have neither a body nor a Content-Length (RFC 9110, 8.6).
		w.WriteHeader(int(c.Status))
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(c.Body)))
	w.WriteHeader(int(c.Status))
	w.Write(c.Body)
}

// writeError writes the error response that package kind defines for e.
func writeError(w http.ResponseWriter, requestID string, e *kind.Error) {
	response := kind.ResponseFor(e.Kind)
	retryAfter := response.RetryAfter
	if e.RetryAfter > 0 {
		retryAfter = e.RetryAfter
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(chainhttp.HeaderRequestID, requestID)
	h.Set(chainhttp.HeaderKind, string(e.Kind))
	h.Set(chainhttp.HeaderRunState, string(e.Run))
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	body, err := json.Marshal(problem{
		Type: "urn:goldcrestsail:kind:" + string(e.Kind), Title: string(e.Kind), Status: response.Status,
		Detail: e.Error(), Kind: e.Kind, RunState: e.Run, RequestID: requestID, Advice: response.Advice,
	})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.Status)
	w.Write(body)
}

// errorOf returns the error that a peer's response carries.
func errorOf(c *peerrpc.CallResponse) *kind.Error {
	e := &kind.Error{Kind: kind.Kind(c.Kind), Run: kind.RunState(c.RunState), Detail: c.Detail, RetryAfter: time.Duration(c.RetryAfterMs) * time.Millisecond}
	if !e.Run.Valid() {
		e.Run = kind.MayHaveRun
	}
	return e
}

// errorResponse returns the response that carries e to a peer.
func errorResponse(requestID string, e *kind.Error) *peerrpc.CallResponse {
	return &peerrpc.CallResponse{
		RequestId: requestID, Kind: string(e.Kind), RunState: string(e.Run), Detail: e.Detail,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}
