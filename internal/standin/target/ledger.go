package target

import "sync"

// Ledger counts executions and side effects, so that duplicates show. It is
// safe for concurrent use and may be shared by the targets of a service.
type Ledger struct {
	mu         sync.Mutex
	effects    map[string]int
	executions map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{effects: map[string]int{}, executions: map[string]int{}}
}

func (l *Ledger) executed(requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[requestID]++
}

func (l *Ledger) effect(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects[key]++
}

// Executions returns how often the request with this ID was started.
func (l *Ledger) Executions(requestID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[requestID]
}

// MaxExecutions returns the highest number of starts of one request.
func (l *Ledger) MaxExecutions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	highest := 0
	for _, n := range l.executions {
		highest = max(highest, n)
	}
	return highest
}

// Effects returns how often the effect of a key took place.
func (l *Ledger) Effects(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects[key]
}

// Duplicates returns the number of effects beyond the first of each key.
func (l *Ledger) Duplicates() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, count := range l.effects {
		n += count - 1
	}
	return n
}
