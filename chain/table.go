package chain

import (
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/retry"
)

// Table holds the chains that run at this node's target, by token. It is not
// safe for concurrent use.
type Table struct {
	config Config
	chains map[Token]*entry
}

type entry struct {
	chain     Chain
	allowance retry.Allowance
	entered   time.Time
	// outstanding counts sub-calls; busySince is when it last left 0.
	outstanding int
	busySince   time.Time
	busy        time.Duration
	calls       map[uint64]struct{}
	visited     []string
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{config: config.withDefaults(), chains: map[Token]*entry{}}
}

// Len returns the number of running chains.
func (t *Table) Len() int { return len(t.chains) }

// Enter registers a request under a new token when its work at the target
// starts. The error, with run state not-run, has kind too-deep or loop when a
// bound is exceeded, and kind shed when the table is full of chains that are
// not abandoned. A token that is in use is an internal error.
func (t *Table) Enter(now time.Time, token Token, c Chain, maxDepth int) error {
	if err := t.checkPath(c.Path, c.Depth, maxDepth); err != nil {
		return err
	}
	if _, ok := t.chains[token]; ok {
		return kind.New(kind.Internal, "chain token is in use").WithRun(kind.NotRun)
	}
	if len(t.chains) >= t.config.MaxChains && !t.dropAbandoned(now) {
		return kind.Newf(kind.Shed, "%d chains are running", len(t.chains)).WithRun(kind.NotRun)
	}
	e := &entry{chain: c, entered: now}
	e.chain.Path = slices.Clone(c.Path)
	e.allowance.Set(c.Allowance)
	if len(c.Path) > 0 {
		e.visit(c.Path[len(c.Path)-1])
	}
	t.chains[token] = e
	return nil
}

// Lookup returns the chain of a token, with what is left of its allowance. The
// caller must not change the path.
func (t *Table) Lookup(token Token) (Chain, bool) {
	e, ok := t.chains[token]
	if !ok {
		return Chain{}, false
	}
	c := e.chain
	c.Allowance = e.allowance.Remaining()
	return c, true
}

// BeginCall allows a sub-call of the chain and hands it a part of the
// allowance. A repeat of the same sub-call draws 1 from the allowance first.
// When the table remembers MaxCalls sub-calls of the chain, any further one is
// treated as a repeat, because it could be one.
//
// The error has run state not-run and one of the kinds allowance-exhausted,
// too-deep, loop, and malformed for an unknown token.
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
	e.begin(now)
	return Grant{part: e.allowance.Split(0), service: call.Service, open: true, Repeat: repeat}, nil
}

// Retry ends the attempt of g with the outcome and allows a further attempt of
// the same sub-call by this node. It draws 1 from the allowance. The error has
// run state not-run and kind allowance-exhausted, or malformed for an unknown
// token; the sub-call has then ended.
func (t *Table) Retry(now time.Time, token Token, g *Grant, out Outcome) (Grant, error) {
	e, ok := t.chains[token]
	if !ok || !g.open {
		return Grant{}, kind.New(kind.Malformed, "unknown chain token or sub-call that has ended")
	}
	e.settle(g, out)
	if !e.allowance.Take() {
		e.end(now)
		return Grant{}, kind.Newf(kind.AllowanceExhausted, "retry of a sub-call to %s", g.service).WithRun(kind.NotRun)
	}
	return Grant{part: e.allowance.Split(0), service: g.service, open: true, Repeat: g.Repeat}, nil
}

// EndCall ends a sub-call. It does nothing when the chain has left or the grant
// has been ended before.
func (t *Table) EndCall(now time.Time, token Token, g *Grant, out Outcome) {
	e, ok := t.chains[token]
	if !ok || !g.open {
		return
	}
	e.settle(g, out)
	e.end(now)
}

// Leave removes the chain and returns its summary. Parts of the allowance that
// are with outstanding sub-calls are lost.
func (t *Table) Leave(now time.Time, token Token) (Summary, bool) {
	e, ok := t.chains[token]
	if !ok {
		return Summary{}, false
	}
	delete(t.chains, token)
	if e.outstanding > 0 {
		e.outstanding = 1
		e.end(now)
	}
	total := max(now.Sub(e.entered), 0)
	return Summary{Chain: e.chain, Total: total, Own: max(total-e.busy, 0),
		Unused: e.allowance.Remaining(), Visited: e.visited}, true
}

func (t *Table) checkCall(e *entry, call Call) error {
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

func (t *Table) checkPath(path []string, depth, maxDepth int) error {
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

// dropAbandoned removes every chain that is past its deadline by
// AbandonedAfter and reports whether there was one. It is called only when the
// table is full.
func (t *Table) dropAbandoned(now time.Time) bool {
	dropped := false
	for token, e := range t.chains {
		if !e.chain.Deadline.IsZero() && now.Sub(e.chain.Deadline) > AbandonedAfter {
			delete(t.chains, token)
			dropped = true
		}
	}
	return dropped
}

func (e *entry) begin(now time.Time) {
	if e.outstanding == 0 {
		e.busySince = now
	}
	e.outstanding++
}

func (e *entry) end(now time.Time) {
	e.outstanding--
	if e.outstanding == 0 {
		e.busy += max(now.Sub(e.busySince), 0)
	}
}

// settle takes back what the attempt left unused and notes where it went.
func (e *entry) settle(g *Grant, out Outcome) {
	g.open = false
	if out.Answered {
		e.allowance.Reclaim(&g.part, out.Unused)
	}
	e.visit(g.service)
	for _, s := range out.Visited {
		e.visit(s)
	}
}

func (e *entry) visit(service string) {
	if len(e.visited) < MaxVisited && !slices.Contains(e.visited, service) {
		e.visited = append(e.visited, service)
	}
}
