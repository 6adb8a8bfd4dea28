package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

const (
	readers = 6
	payers  = 3
	// pause bounds the load of one client.
	pause = 20 * time.Millisecond
	// payAttempts is how often a caller sends one non-idempotent request.
	payAttempts = 6
	// window is how many of the latest requests goodput is judged by.
	window, windowGood = 60, 57
)

// load sends reads and non-idempotent requests until it is stopped, and keeps
// what it was told.
type load struct {
	c    *cluster
	stop chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	results []bool
	paid    int
	answers []answer
	keys    []string
	wrong   []string
	// strict makes every connection that breaks off a fault.
	strict bool
}

func (c *cluster) startLoad(t *testing.T) *load {
	l := &load{c: c, stop: make(chan struct{})}
	for i := range readers {
		l.wait.Go(func() { l.repeat(i, l.read) })
	}
	for i := range payers {
		l.wait.Go(func() { l.repeat(i, l.pay) })
	}
	t.Cleanup(sync.OnceFunc(l.end))
	return l
}

// end stops the load and waits for its last answers.
func (l *load) end() {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.wait.Wait()
}

func (l *load) repeat(client int, op func(client, i int)) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			op(client, i)
		}
	}
}

// setStrict makes every connection that breaks off later a fault.
func (l *load) setStrict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strict = true
}

func (l *load) entry(i int) *member {
	entries := l.c.entries()
	return entries[i%len(entries)]
}

func (l *load) read(client, i int) {
	id := newID()
	a := l.c.send(l.entry(client+i), http.MethodGet, "/items/"+id, id, "")
	if a.status == http.StatusOK && a.wrong == "" && a.body.Request != id {
		a.wrong = "answer of request " + a.body.Request
	}
	l.record(a)
	l.result(a.status == http.StatusOK)
}

// pay sends a request with a key and repeats it through other nodes until it
// has an answer.
func (l *load) pay(client, i int) {
	key := ""
	switch (client + i) % payers {
	case 0:
		key = uuid.Must(uuid.NewV7()).String()
	case 1:
		key = "opaque-" + newID()
	default:
		if key = l.c.issueKey(l.entry(client + i)); key == "" {
			l.result(false)
			return
		}
	}
	l.mu.Lock()
	l.keys = append(l.keys, key)
	l.mu.Unlock()
	path, ids := "/pay/"+newID(), map[string]bool{}
	for attempt := range payAttempts {
		id := newID()
		ids[id] = true
		a := l.c.send(l.entry(client+i+attempt), http.MethodPost, path, id, key)
		if a.status == http.StatusOK && a.wrong == "" && !ids[a.body.Request] {
			a.wrong = "answer of request " + a.body.Request
		}
		l.record(a)
		if a.status == http.StatusOK {
			if n := l.c.ledger.Effects("front", key); n != 1 {
				l.fault(fmt.Sprintf("key %s: answered with 200, %d effects", key, n))
			}
			l.mu.Lock()
			l.paid++
			l.mu.Unlock()
			l.result(true)
			return
		}
		select {
		case <-l.stop:
			return
		case <-time.After(5 * pause):
		}
	}
	l.result(false)
}

func (l *load) fault(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = append(l.wrong, text)
}

func (l *load) record(a answer) {
	if a.wrong != "" {
		l.fault(fmt.Sprintf("request %s: %s", a.id, a.wrong))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
	// A refused connection carried no request.
	if l.strict && a.err != nil && !strings.Contains(a.err.Error(), "connection refused") {
		l.wrong = append(l.wrong, fmt.Sprintf("request %s was cut off: %v", a.id, a.err))
	}
}

func (l *load) result(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, ok)
}

// count returns the number of recorded answers that match.
func (l *load) count(match func(answer) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.answers {
		if match(a) {
			n++
		}
	}
	return n
}

// waitGoodput waits until nearly all requests that ended since the call are
// served, reads and non-idempotent ones.
func (l *load) waitGoodput(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	since, paid := len(l.results), l.paid
	l.mu.Unlock()
	waitFor(t, "goodput to return", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.results) < since+window || l.paid < paid+payers {
			return false
		}
		good := 0
		for _, ok := range l.results[len(l.results)-window:] {
			if ok {
				good++
			}
		}
		return good >= windowGood
	})
}

// check asserts the invariants over everything since the start of the load.
func (l *load) check(t *testing.T) {
	t.Helper()
	for _, id := range l.notRun() {
		n := l.c.ledger.count(func(s start) bool { return s.request == id && s.service == "front" })
		require.Zero(t, n, "request %s was started, its caller was told not-run", id)
	}
	for id, n := range l.c.ledger.retries() {
		require.LessOrEqual(t, n, allowance, "retries of request %s", id)
	}
	require.Empty(t, l.c.ledger.startedAgain(), "requests started again after they may have taken effect")
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Empty(t, l.wrong)
	for _, key := range l.keys {
		require.LessOrEqual(t, l.c.ledger.Effects("front", key), 1, "effects of key %s", key)
	}
}

// during runs a failure while requests are in progress at the target of m, and
// records what their callers are told.
func (l *load) during(t *testing.T, m *member, fail func()) {
	t.Helper()
	work := l.c.holdWork(t, m)
	fail()
	work.release()
	for range work.count {
		l.record(<-work.answers)
	}
}

func (l *load) notRun() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for _, a := range l.answers {
		if a.runState == "not-run" {
			ids = append(ids, a.id)
		}
	}
	return ids
}
