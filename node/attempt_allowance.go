package node

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/retry"
)

// attemptAllowance splits the retry allowance of one request among its attempts.
type attemptAllowance interface {
	// first returns the allowance that the first attempt carries.
	first() (int, *kind.Error)
	// retry ends the last attempt and returns the allowance that the next one
	// carries, or an error when none is left.
	retry(outcome chain.Outcome) (int, *kind.Error)
	// end ends the last attempt.
	end(outcome chain.Outcome)
}

// clientAllowance takes retries from the allowance of a client's request, which
// this node keeps itself.
type clientAllowance struct {
	allowance retry.Allowance
	share     retry.Share
}

func newClientAllowance(allowance int) *clientAllowance {
	a := &clientAllowance{}
	a.allowance.Set(allowance)
	return a
}

func (a *clientAllowance) first() (int, *kind.Error) {
	a.share = a.allowance.Split(0)
	return a.share.Retries(), nil
}

func (a *clientAllowance) retry(outcome chain.Outcome) (int, *kind.Error) {
	a.end(outcome)
	if !a.allowance.Take() {
		return 0, kind.New(kind.AllowanceExhausted, "the retry allowance of the chain is used up")
	}
	return a.first()
}

func (a *clientAllowance) end(outcome chain.Outcome) {
	if outcome.Answered {
		a.allowance.Reclaim(&a.share, outcome.Unused)
	}
}

// chainAllowance takes retries from the allowance of the chain that a sub-call
// belongs to.
type chainAllowance struct {
	chains *chainTable
	token  chain.Token
	call   chain.Call
	grant  chain.Grant
}

func (a *chainAllowance) first() (int, *kind.Error) {
	a.chains.mu.Lock()
	defer a.chains.mu.Unlock()
	grant, err := a.chains.table.BeginCall(time.Now(), a.token, a.call)
	if err != nil {
		return 0, kind.Of(err)
	}
	a.grant = grant
	return a.grant.Allowance(), nil
}

func (a *chainAllowance) retry(outcome chain.Outcome) (int, *kind.Error) {
	a.chains.mu.Lock()
	defer a.chains.mu.Unlock()
	grant, err := a.chains.table.Retry(time.Now(), a.token, &a.grant, outcome)
	if err != nil {
		return 0, kind.Of(err)
	}
	a.grant = grant
	return a.grant.Allowance(), nil
}

func (a *chainAllowance) end(outcome chain.Outcome) {
	a.chains.mu.Lock()
	defer a.chains.mu.Unlock()
	a.chains.table.EndCall(time.Now(), a.token, &a.grant, outcome)
}

// chainTable is a chain.Table protected by a mutex.
type chainTable struct {
	mu    sync.Mutex
	table *chain.Table
}

func (c *chainTable) enter(now time.Time, token chain.Token, chainState chain.Chain, maxDepth int) *kind.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return kind.Of(c.table.Enter(now, token, chainState, maxDepth))
}

func (c *chainTable) leave(now time.Time, token chain.Token) chain.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary, _ := c.table.Leave(now, token)
	return summary
}

func (c *chainTable) lookup(token chain.Token) (chain.Chain, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Lookup(token)
}

func (c *chainTable) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}
