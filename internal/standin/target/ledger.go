package target

import "sync"

// Ledger counts the starts and side effects of requests, to detect retries and
// duplicate effects. It is safe for concurrent use and is shared by all targets
// of a test.
type Ledger struct {
	mu sync.Mutex
	// effects counts the side effects by service and idempotency key.
	effects map[string]int
	// executions counts the starts by request ID, then by service and path.
	executions map[string]map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{effects: map[string]int{}, executions: map[string]map[string]int{}}
}

func (l *Ledger) countStart(requestID, service, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	starts := l.executions[requestID]
	if starts == nil {
		starts = map[string]int{}
		l.executions[requestID] = starts
	}
	starts[service+path]++
}

func (l *Ledger) countEffect(service, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects[service+"/"+key]++
}

// Executions returns the number of starts of a request at the given service and
// path.
func (l *Ledger) Executions(requestID, service, path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[requestID][service+path]
}

// MaxRetries returns the highest number of repeated starts of one request,
// summed over its whole chain.
func (l *Ledger) MaxRetries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	highest := 0
	for _, starts := range l.executions {
		retries := 0
		for _, n := range starts {
			retries += n - 1
		}
		highest = max(highest, retries)
	}
	return highest
}

// Effects returns the number of effects of an idempotency key at a service.
func (l *Ledger) Effects(service, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects[service+"/"+key]
}

// DuplicateEffects returns the number of effects beyond the first of each key.
func (l *Ledger) DuplicateEffects() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	duplicates := 0
	for _, n := range l.effects {
		duplicates += n - 1
	}
	return duplicates
}
