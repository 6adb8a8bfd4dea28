package node

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/retry"
)

// attempts splits the retry allowance of one request among its attempts.
type attempts interface {
	// first returns the allowance that the first attempt carries.
	first() (int, *kind.Error)
	// retry ends the last attempt and returns the allowance that the next one
	// carries, or an error when none is left.
	retry(out chain.Outcome) (int, *kind.Error)
	// end ends the last attempt.
	end(out chain.Outcome)
}

// clientAttempts uses the allowance of a client's request, which this node
// stores itself.
type clientAttempts struct {
	allowance retry.Allowance
	share     retry.Share
}

func newClientAttempts(allowance int) *clientAttempts {
	a := &clientAttempts{}
	a.allowance.Set(allowance)
	return a
}

func (a *clientAttempts) first() (int, *kind.Error) {
	a.share = a.allowance.Split(0)
	return a.share.Retries(), nil
}

func (a *clientAttempts) retry(out chain.Outcome) (int, *kind.Error) {
	a.end(out)
	if !a.allowance.Take() {
		return 0, kind.New(kind.AllowanceExhausted, "the retry allowance of the chain is used up")
	}
	return a.first()
}

func (a *clientAttempts) end(out chain.Outcome) {
	if out.Answered {
		a.allowance.Reclaim(&a.share, out.Unused)
	}
}

// chainAttempts uses the allowance of the chain that a sub-call belongs to.
type chainAttempts struct {
	chains *chains
	token  chain.Token
	call   chain.Call
	grant  chain.Grant
}

func (a *chainAttempts) first() (int, *kind.Error) {
	a.chains.mu.Lock()
	defer a.chains.mu.Unlock()
	grant, err := a.chains.table.BeginCall(time.Now(), a.token, a.call)
	if err != nil {
		return 0, kind.Of(err)
	}
	a.grant = grant
	return a.grant.Allowance(), nil
}

func (a *chainAttempts) retry(out chain.Outcome) (int, *kind.Error) {
	a.chains.mu.Lock()
	defer a.chains.mu.Unlock()
	grant, err := a.chains.table.Retry(time.Now(), a.token, &a.grant, out)
	if err != nil {
		return 0, kind.Of(err)
	}
	a.grant = grant
	return a.grant.Allowance(), nil
}

func (a *chainAttempts) end(out chain.Outcome) {
	a.chains.mu.Lock()
	defer a.chains.mu.Unlock()
	a.chains.table.EndCall(time.Now(), a.token, &a.grant, out)
}

// chains is the chain table, protected by a mutex.
type chains struct {
	mu    sync.Mutex
	table *chain.Table
}

func (c *chains) enter(now time.Time, token chain.Token, entry chain.Chain, maxDepth int) *kind.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return kind.Of(c.table.Enter(now, token, entry, maxDepth))
}

func (c *chains) leave(now time.Time, token chain.Token) chain.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary, _ := c.table.Leave(now, token)
	return summary
}

func (c *chains) lookup(token chain.Token) (chain.Chain, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Lookup(token)
}

func (c *chains) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}
