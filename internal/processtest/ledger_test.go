package processtest

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// start is one start of a request at a target.
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
	// open holds the non-idempotent requests, each with a path of its own, that
	// were started and not declared to be without effect since.
	open map[string]bool
	// again holds the paths that were started while they were open.
	again []string
}

func newLedger() *ledger {
	return &ledger{Ledger: target.NewLedger(), held: map[string]chan struct{}{}, open: map[string]bool{}}
}

// ServeHTTP implements http.Handler.
func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == target.StartPath {
		s := start{time.Now(), r.FormValue("target"), r.FormValue("service"), r.FormValue("path"), r.FormValue("request"), r.FormValue("trace")}
		l.mu.Lock()
		l.starts = append(l.starts, s)
		if strings.HasPrefix(s.path, "/pay/") {
			if l.open[s.path] {
				l.again = append(l.again, s.path)
			}
			l.open[s.path] = true
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
		delete(l.open, r.FormValue("path"))
		l.mu.Unlock()
	}
	l.Ledger.ServeHTTP(w, r)
}

// startedAgain returns the non-idempotent requests that were started again
// although an earlier start may have taken effect.
func (l *ledger) startedAgain() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.again
}

// hold stops all requests whose path has the prefix at their start.
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

// retries returns how often parts of each request were started again, summed
// over its chain. A sub-call of a repeated request is a first attempt.
func (l *ledger) retries() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	type part struct{ request, service, run string }
	seen, retries := map[part]bool{}, map[string]int{}
	for _, s := range l.starts {
		p := part{s.request, s.service, ""}
		if s.service == "back" {
			p.run = s.trace
		}
		if seen[p] {
			retries[s.request]++
		}
		seen[p] = true
	}
	return retries
}
