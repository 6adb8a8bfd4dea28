package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
)

// HeaderClientRequest carries an ID that a test client gives each request;
// the target repeats it in the answer, so that a foreign answer shows.
const HeaderClientRequest = "X-Client-Request"

// Answer is the body of a stand-in target's answer.
type Answer struct {
	Service string   `json:"service"`
	Path    string   `json:"path"`
	Request string   `json:"request"`
	Calls   []string `json:"calls,omitempty"`
	// Complete is the last field, so that a truncated body does not parse.
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
	if t.lying.Load() {
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

	request := r.Header.Get(HeaderClientRequest)
	if !t.recordStart(r, request) {
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
	calls, status := t.callOthers(r)
	if status != http.StatusOK {
		t.declareNoEffect(w, r)
		http.Error(w, "sub-call failed", status)
		return
	}
	if key := r.Header.Get(chainhttp.HeaderKey); key != "" && !t.recordEffect(key) {
		http.Error(w, "ledger not reachable", http.StatusInternalServerError)
		return
	}
	t.writeAnswer(w, r, request, calls)
}

func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, request string, calls []string) {
	answer := Answer{Service: t.config.Service, Path: r.URL.Path, Request: request, Calls: calls, Complete: true}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// callOthers makes the configured sub-calls in order. It stops at the first
// one that is not answered with 200 and returns its status.
func (t *Target) callOthers(r *http.Request) ([]string, int) {
	var done []string
	for _, call := range t.config.Calls {
		if !strings.HasPrefix(r.URL.Path, call.On) {
			continue
		}
		out, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+call.Service+call.Path, nil)
		if err != nil {
			return done, http.StatusInternalServerError
		}
		out.Header.Set(HeaderClientRequest, r.Header.Get(HeaderClientRequest))
		response, err := t.calls.Do(out)
		if err != nil {
			return done, http.StatusBadGateway
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			return done, http.StatusBadGateway
		}
		done = append(done, call.Service)
	}
	return done, http.StatusOK
}

// sleep waits for d and reports whether the request is still wanted.
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
