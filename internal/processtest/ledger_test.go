package processtest

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// start records that a target started to run a request.
type start struct {
	at                                    time.Time
	target, service, path, request, trace string
}

// ledger records the starts and effects of all targets, and can hold requests
// at their start.
type ledger struct {
	*target.Ledger
	mu     sync.Mutex
	starts []start
	held   map[string]chan struct{}
	// effectPossible holds the paths of non-idempotent requests, one per request,
	// that were started and have not since been reported as without effect.
	effectPossible map[string]bool
	// unsafeRestarts holds the paths that were started while effectPossible held
	// them.
	unsafeRestarts []string
}

func newLedger() *ledger {
	return &ledger{Ledger: target.NewLedger(), held: map[string]chan struct{}{}, effectPossible: map[string]bool{}}
}

// ServeHTTP implements http.Handler.
func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == target.StartPath {
		s := start{time.Now(), r.FormValue("target"), r.FormValue("service"), r.FormValue("path"), r.FormValue("request"), r.FormValue("trace")}
		l.mu.Lock()
		l.starts = append(l.starts, s)
		if strings.HasPrefix(s.path, "/pay/") {
			if l.effectPossible[s.path] {
				l.unsafeRestarts = append(l.unsafeRestarts, s.path)
			}
			l.effectPossible[s.path] = true
		}
		var held chan struct{}
		for prefix, c := range l.held {
			if strings.HasPrefix(s.path, prefix) {
				held = c
			}
		}
		l.mu.Unlock()
		if held != nil {
			<-held
		}
	}
	if r.URL.Path == target.NoEffectPath {
		l.mu.Lock()
		delete(l.effectPossible, r.FormValue("path"))
		l.mu.Unlock()
	}
	l.Ledger.ServeHTTP(w, r)
}

// unsafelyRestarted returns the non-idempotent requests that were started again
// although an earlier start may have taken effect.
func (l *ledger) unsafelyRestarted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unsafeRestarts
}

// hold blocks all requests whose path has the prefix at their start until release
// is called.
func (l *ledger) hold(prefix string) (release func()) {
	c := make(chan struct{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[prefix] = c
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.held, prefix)
		close(c)
	})
}

// count returns the number of starts that match.
func (l *ledger) count(match func(start) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.starts {
		if match(s) {
			n++
		}
	}
	return n
}

// retries returns the number of repeated starts of each client request, summed
// over its call chain. A sub-call made by a repeated request is a first attempt.
func (l *ledger) retries() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	type callKey struct{ request, service, run string }
	seen, retries := map[callKey]bool{}, map[string]int{}
	for _, s := range l.starts {
		call := callKey{s.request, s.service, ""}
		if s.service == "back" {
			call.run = s.trace
		}
		if seen[call] {
			retries[s.request]++
		}
		seen[call] = true
	}
	return retries
}
