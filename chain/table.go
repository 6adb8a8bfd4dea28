package chain

import (
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/retry"
)

// Table holds the chains that are running at this node's target, by token. It is
// not safe for concurrent use.
type Table struct {
	config Config
	chains map[Token]*runningChain
}

type runningChain struct {
	chain     Chain
	allowance retry.Allowance
	enteredAt time.Time
	// outstanding is the number of sub-calls in progress.
	outstanding int
	// subCallsSince is the time at which outstanding last rose from 0.
	subCallsSince time.Time
	// subCallTime is the total time of the ended periods with sub-calls in progress.
	subCallTime time.Duration
	// calls holds the fingerprints of the sub-calls made so far.
	calls   map[uint64]struct{}
	visited []string
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{config: config.withDefaults(), chains: map[Token]*runningChain{}}
}

// Len returns the number of running chains.
func (t *Table) Len() int { return len(t.chains) }

// Enter adds a request under a new token when the target starts to work on it.
// The error has run state not-run. Its kind is too-deep or loop when a bound is
// exceeded, shed when the table is full and no chain in it is abandoned, and
// internal when the token is in use.
func (t *Table) Enter(now time.Time, token Token, c Chain, maxDepth int) error {
	if err := t.checkRequest(c.Path, c.Depth, maxDepth); err != nil {
		return err
	}
	if _, ok := t.chains[token]; ok {
		return kind.New(kind.Internal, "chain token is in use").WithRun(kind.NotRun)
	}
	if len(t.chains) >= t.config.MaxChains && !t.removeAbandoned(now) {
		return kind.Newf(kind.Shed, "%d chains are running", len(t.chains)).WithRun(kind.NotRun)
	}
	e := &runningChain{chain: c, enteredAt: now}
	e.chain.Path = slices.Clone(c.Path)
	e.allowance.Set(c.Allowance)
	if len(c.Path) > 0 {
		e.addVisited(c.Path[len(c.Path)-1])
	}
	t.chains[token] = e
	return nil
}

// Lookup returns the chain of a token, with its remaining allowance. The caller
// must not modify the path.
func (t *Table) Lookup(token Token) (Chain, bool) {
	e, ok := t.chains[token]
	if !ok {
		return Chain{}, false
	}
	c := e.chain
	c.Allowance = e.allowance.Remaining()
	return c, true
}

// BeginCall permits a sub-call of the chain and assigns it a share of the
// allowance. A repeat of the same sub-call first consumes one retry. Once MaxCalls
// sub-calls of the chain are recorded, every further one is treated as a repeat,
// because it could be one.
//
// The error has run state not-run. Its kind is allowance-exhausted, too-deep or
// loop, or malformed for an unknown token.
func (t *Table) BeginCall(now time.Time, token Token, call Call) (Grant, error) {
	e, ok := t.chains[token]
	if !ok {
		return Grant{}, kind.New(kind.Malformed, "unknown chain token")
	}
	if err := t.checkCall(e, call); err != nil {
		return Grant{}, err
	}
	_, repeat := e.calls[call.Fingerprint]
	repeat = repeat || len(e.calls) >= t.config.MaxCalls
	if repeat && !e.allowance.Take() {
		return Grant{}, kind.Newf(kind.AllowanceExhausted, "repeat of a sub-call to %s", call.Service).WithRun(kind.NotRun)
	}
	if !repeat {
		if e.calls == nil {
			e.calls = map[uint64]struct{}{}
		}
		e.calls[call.Fingerprint] = struct{}{}
	}
	e.beginSubCall(now)
	return Grant{share: e.allowance.Split(0), service: call.Service, open: true, Repeat: repeat}, nil
}

// Retry ends the attempt of g with the outcome and permits another attempt of the
// same sub-call by this node, which consumes one retry of the allowance. The error
// has run state not-run. Its kind is allowance-exhausted, or malformed for an
// unknown token; the sub-call has then ended.
func (t *Table) Retry(now time.Time, token Token, g *Grant, out Outcome) (Grant, error) {
	e, ok := t.chains[token]
	if !ok || !g.open {
		return Grant{}, kind.New(kind.Malformed, "unknown chain token or sub-call that has ended")
	}
	e.endAttempt(g, out)
	if !e.allowance.Take() {
		e.endSubCall(now)
		return Grant{}, kind.Newf(kind.AllowanceExhausted, "retry of a sub-call to %s", g.service).WithRun(kind.NotRun)
	}
	return Grant{share: e.allowance.Split(0), service: g.service, open: true, Repeat: g.Repeat}, nil
}

// EndCall ends a sub-call. It has no effect when the chain was removed or the
// grant has ended already.
func (t *Table) EndCall(now time.Time, token Token, g *Grant, out Outcome) {
	e, ok := t.chains[token]
	if !ok || !g.open {
		return
	}
	e.endAttempt(g, out)
	e.endSubCall(now)
}

// Leave removes the chain and returns its summary. The allowance shares of
// outstanding sub-calls are lost.
func (t *Table) Leave(now time.Time, token Token) (Summary, bool) {
	e, ok := t.chains[token]
	if !ok {
		return Summary{}, false
	}
	delete(t.chains, token)
	if e.outstanding > 0 {
		e.outstanding = 1
		e.endSubCall(now)
	}
	total := max(now.Sub(e.enteredAt), 0)
	return Summary{Chain: e.chain, Total: total, OwnTime: max(total-e.subCallTime, 0),
		Unused: e.allowance.Remaining(), Visited: e.visited}, true
}

func (t *Table) checkCall(e *runningChain, call Call) error {
	if depth := e.chain.Depth + 1; depth >= call.MaxDepth && call.MaxDepth > 0 {
		return tooDeep(depth, call.MaxDepth)
	}
	visits := 1
	for _, s := range e.chain.Path {
		if s == call.Service {
			visits++
		}
	}
	if visits > t.config.MaxVisits {
		return kind.Newf(kind.Loop, "%s would be on the path %d times", call.Service, visits).WithRun(kind.NotRun)
	}
	return nil
}

func (t *Table) checkRequest(path []string, depth, maxDepth int) error {
	if maxDepth > 0 && depth >= maxDepth {
		return tooDeep(depth, maxDepth)
	}
	if len(path) == 0 {
		return nil
	}
	visits, last := 0, path[len(path)-1]
	for _, s := range path {
		if s == last {
			visits++
		}
	}
	if visits > t.config.MaxVisits {
		return kind.Newf(kind.Loop, "%s is on the path %d times", last, visits).WithRun(kind.NotRun)
	}
	return nil
}

func tooDeep(depth, maxDepth int) error {
	return kind.Newf(kind.TooDeep, "hop %d of a chain, at most %d are allowed", depth+1, maxDepth).WithRun(kind.NotRun)
}

// removeAbandoned removes every chain whose deadline passed more than
// AbandonedAfter ago, and reports whether there was one. It is called only when
// the table is full.
func (t *Table) removeAbandoned(now time.Time) bool {
	removed := false
	for token, e := range t.chains {
		if !e.chain.Deadline.IsZero() && now.Sub(e.chain.Deadline) > AbandonedAfter {
			delete(t.chains, token)
			removed = true
		}
	}
	return removed
}

func (e *runningChain) beginSubCall(now time.Time) {
	if e.outstanding == 0 {
		e.subCallsSince = now
	}
	e.outstanding++
}

func (e *runningChain) endSubCall(now time.Time) {
	e.outstanding--
	if e.outstanding == 0 {
		e.subCallTime += max(now.Sub(e.subCallsSince), 0)
	}
}

// endAttempt reclaims the unused retries of the attempt and records the services
// that it visited.
func (e *runningChain) endAttempt(g *Grant, out Outcome) {
	g.open = false
	if out.Answered {
		e.allowance.Reclaim(&g.share, out.Unused)
	}
	e.addVisited(g.service)
	for _, s := range out.Visited {
		e.addVisited(s)
	}
}

func (e *runningChain) addVisited(service string) {
	if len(e.visited) < MaxVisited && !slices.Contains(e.visited, service) {
		e.visited = append(e.visited, service)
	}
}
