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
	// requestInterval is the interval between the requests of one client.
	requestInterval = 20 * time.Millisecond
	// payAttempts is the maximum number of attempts of a non-idempotent request.
	payAttempts = 6
	// Goodput counts as restored when minServed of the latest goodputWindow
	// requests were served.
	goodputWindow, minServed = 60, 57
)

// load sends reads and non-idempotent requests until it is stopped, and records
// their outcomes.
type load struct {
	c    *cluster
	stop chan struct{}
	wait sync.WaitGroup

	mu         sync.Mutex
	served     []bool
	paid       int
	answers    []answer
	keys       []string
	violations []string
	// strict makes every interrupted connection a violation.
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

// end stops the load and waits for the requests in progress.
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
	ticker := time.NewTicker(requestInterval)
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

// setStrict makes every connection interrupted from now on a violation.
func (l *load) setStrict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.strict = true
}

func (l *load) entry(i int) *member {
	entries := l.c.entryNodes()
	return entries[i%len(entries)]
}

func (l *load) read(client, i int) {
	id := newID()
	a := l.c.send(l.entry(client+i), http.MethodGet, "/items/"+id, id, "")
	if a.status == http.StatusOK && a.mismatch == "" && a.body.Request != id {
		a.mismatch = "answer of request " + a.body.Request
	}
	l.record(a)
	l.recordServed(a.status == http.StatusOK)
}

// pay sends a non-idempotent request with a key and repeats it through other nodes
// until it is answered with status 200 or its attempts are used up.
func (l *load) pay(client, i int) {
	key := ""
	switch (client + i) % payers {
	case 0:
		key = uuid.Must(uuid.NewV7()).String()
	case 1:
		key = "opaque-" + newID()
	default:
		if key = l.c.issueKey(l.entry(client + i)); key == "" {
			l.recordServed(false)
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
		if a.status == http.StatusOK && a.mismatch == "" && !ids[a.body.Request] {
			a.mismatch = "answer of request " + a.body.Request
		}
		l.record(a)
		if a.status == http.StatusOK {
			if n := l.c.ledger.Effects("front", key); n != 1 {
				l.addViolation(fmt.Sprintf("key %s: answered with 200, %d effects", key, n))
			}
			l.mu.Lock()
			l.paid++
			l.mu.Unlock()
			l.recordServed(true)
			return
		}
		select {
		case <-l.stop:
			return
		case <-time.After(5 * requestInterval):
		}
	}
	l.recordServed(false)
}

func (l *load) addViolation(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, text)
}

func (l *load) record(a answer) {
	if a.mismatch != "" {
		l.addViolation(fmt.Sprintf("request %s: %s", a.id, a.mismatch))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
	// A refused connection carried no request.
	if l.strict && a.err != nil && !strings.Contains(a.err.Error(), "connection refused") {
		l.violations = append(l.violations, fmt.Sprintf("connection of request %s was interrupted: %v", a.id, a.err))
	}
}

func (l *load) recordServed(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served = append(l.served, ok)
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

// waitGoodput waits until at least goodputWindow requests have ended and payers
// non-idempotent ones were answered since the call, and goodput is restored.
func (l *load) waitGoodput(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	since, paid := len(l.served), l.paid
	l.mu.Unlock()
	waitFor(t, "goodput to recover", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.served) < since+goodputWindow || l.paid < paid+payers {
			return false
		}
		good := 0
		for _, ok := range l.served[len(l.served)-goodputWindow:] {
			if ok {
				good++
			}
		}
		return good >= minServed
	})
}

// checkInvariants asserts the invariants over all requests since the start of the
// load.
func (l *load) checkInvariants(t *testing.T) {
	t.Helper()
	for _, id := range l.notRunIDs() {
		n := l.c.ledger.count(func(s start) bool { return s.request == id && s.service == "front" })
		require.Zero(t, n, "request %s was started although its caller got run state not-run", id)
	}
	for id, n := range l.c.ledger.retries() {
		require.LessOrEqual(t, n, retryAllowance, "retries of request %s", id)
	}
	require.Empty(t, l.c.ledger.unsafelyRestarted(), "requests started again after they may have taken effect")
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Empty(t, l.violations)
	for _, key := range l.keys {
		require.LessOrEqual(t, l.c.ledger.Effects("front", key), 1, "effects of key %s", key)
	}
}

// injectDuringRequests injects a failure while requests are in progress at the
// target of m, and records their outcomes.
func (l *load) injectDuringRequests(t *testing.T, m *member, fail func()) {
	t.Helper()
	held := l.c.holdRequests(t, m)
	fail()
	held.release()
	for range held.count {
		l.record(<-held.answers)
	}
}

func (l *load) notRunIDs() []string {
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
