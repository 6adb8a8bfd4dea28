package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
)

// HeaderClientRequest carries an ID that a test client gives each request. The
// target returns it in the response, so that the client detects a response to
// another request.
const HeaderClientRequest = "X-Client-Request"

// Response is the response body of a stand-in target.
type Response struct {
	Service string   `json:"service"`
	Path    string   `json:"path"`
	Request string   `json:"request"`
	Calls   []string `json:"calls,omitempty"`
	// Complete is the last field, so that a truncated body is not valid JSON.
	Complete bool `json:"complete"`
}

func (t *Target) handler(slots chan struct{}, started time.Time) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/health", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /-/load", t.serveLoad)
	mux.Handle("/", chainhttp.Middleware(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.serve(w, r, slots, started)
	})))
	return mux
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	inFlight := t.inFlight.Load()
	if t.reportIdle.Load() {
		inFlight = 0
	}
	json.NewEncoder(w).Encode(map[string]int64{"in_flight": inFlight, "slots": int64(t.config.Slots)})
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request, slots chan struct{}, started time.Time) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if int(t.inFlight.Add(1)) > t.config.Slots+t.config.Backlog {
		t.inFlight.Add(-1)
		w.Header().Set(chainhttp.HeaderRunState, "not-run")
		http.Error(w, "backlog full", http.StatusServiceUnavailable)
		return
	}
	defer t.inFlight.Add(-1)
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		w.Header().Set(chainhttp.HeaderRunState, "not-run")
		http.Error(w, "deadline passed before a slot was free", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slots }()

	requestID := r.Header.Get(HeaderClientRequest)
	if !t.recordStart(r, requestID) {
		w.Header().Set(chainhttp.HeaderRunState, "not-run")
		http.Error(w, "ledger not reachable", http.StatusServiceUnavailable)
		return
	}
	if t.config.CrashPath != "" && strings.HasPrefix(r.URL.Path, t.config.CrashPath) {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	if !sleep(r, t.serviceTime(started)) {
		t.declareNoEffect(w, r)
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	calls, status := t.makeSubCalls(r)
	if status != http.StatusOK {
		t.declareNoEffect(w, r)
		http.Error(w, "sub-call failed", status)
		return
	}
	if key := r.Header.Get(chainhttp.HeaderKey); key != "" && !t.recordEffect(key) {
		http.Error(w, "ledger not reachable", http.StatusInternalServerError)
		return
	}
	t.writeResponse(w, r, requestID, calls)
}

func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, requestID string, calls []string) {
	response := Response{Service: t.config.Service, Path: r.URL.Path, Request: requestID, Calls: calls, Complete: true}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(response)
}

// makeSubCalls makes the configured sub-calls in order. It stops at the first
// failure and returns the status to respond with.
func (t *Target) makeSubCalls(r *http.Request) ([]string, int) {
	var callees []string
	for _, call := range t.config.Calls {
		if !strings.HasPrefix(r.URL.Path, call.PathPrefix) {
			continue
		}
		out, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+call.Service+call.Path, nil)
		if err != nil {
			return callees, http.StatusInternalServerError
		}
		out.Header.Set(HeaderClientRequest, r.Header.Get(HeaderClientRequest))
		response, err := t.client.Do(out)
		if err != nil {
			return callees, http.StatusBadGateway
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			return callees, http.StatusBadGateway
		}
		callees = append(callees, call.Service)
	}
	return callees, http.StatusOK
}

// sleep waits for d. It returns false if the request is canceled before.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
