package node

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/claims"
	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

const (
	// maxClaimAppends is the share of the log service's several hundred appends
	// a second that all nodes together use for claims.
	maxClaimAppends = 300
	// maxAppendInterval keeps a claim within the time that Begin waits for the
	// log. With more than 150 claiming nodes the appends can exceed their share
	// when all of them claim without a pause.
	maxAppendInterval = 500 * time.Millisecond
)

// guards runs the at-most-once guard of the service whose target is beside the
// node. It is safe for concurrent use.
type guards struct {
	node      *Node
	ctx       context.Context
	stop      context.CancelFunc
	done      sync.WaitGroup
	mu        sync.Mutex
	byService map[policy.ServiceName]*claims.Guard
}

func newGuards(n *Node) *guards {
	ctx, stop := context.WithCancel(context.Background())
	return &guards{node: n, ctx: ctx, stop: stop, byService: map[policy.ServiceName]*claims.Guard{}}
}

// get returns the guard of a service, or an error with run state not-run when
// this node's target does not serve it.
func (g *guards) get(name policy.ServiceName) (*claims.Guard, *kind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if guard := g.byService[name]; guard != nil {
		return guard, nil
	}
	return nil, kind.Newf(kind.ClaimUnavailable, "this node keeps no claims of %s", name)
}

// ensure starts the guard of a service, or adapts its window to the policy.
func (g *guards) ensure(p *policy.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if guard := g.byService[p.Name]; guard != nil {
		if err := guard.SetWindow(p.ClaimWindow); err != nil {
			g.node.log.Error("claim window not changed", "service", p.Name.String(), "error", err)
		}
		return
	}
	if !hasNonIdempotent(p) || g.ctx.Err() != nil {
		return
	}
	guard, err := claims.NewGuard(claims.Options{
		Service: p.Name, Process: g.node.id, Log: g.node.config.Log, OutcomeClient: &outcomeAsker{g.node, p.Name},
		Config: idempotency.Config{Window: p.ClaimWindow}, Logger: g.node.log.Named("claims"),
	})
	if err != nil {
		g.node.log.Error("claims not started", "service", p.Name.String(), "error", err)
		return
	}
	g.byService[p.Name] = guard
	g.done.Go(func() { guard.Run(g.ctx) })
}

// share sets the append interval by the number of nodes that may claim, so that
// all together stay within the append rate.
func (g *guards) share(claimingNodes int) {
	interval := time.Duration(claimingNodes) * time.Second / maxClaimAppends
	interval = min(max(interval, claims.DefaultAppendInterval), maxAppendInterval)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, guard := range g.byService {
		guard.SetAppendInterval(interval)
	}
}

// close ends all guards and waits for them.
func (g *guards) close() {
	g.stop()
	g.done.Wait()
}

func hasNonIdempotent(p *policy.Policy) bool {
	for i := range p.Classes {
		if p.Classes[i].NonIdempotent {
			return true
		}
	}
	return false
}

// outcomeAsker asks the owner of a claim over RPC.
type outcomeAsker struct {
	node *Node
	name policy.ServiceName
}

// QueryOutcome implements claims.OutcomeClient.
func (a *outcomeAsker) QueryOutcome(ctx context.Context, owner idempotency.ProcessID, ref []byte, wait time.Duration) (idempotency.Outcome, error) {
	address, ok := a.node.router.Address(routing.TargetID(uuid.UUID(owner).String()))
	if !ok {
		return idempotency.Outcome{}, kind.New(kind.PeerLost, "the owner of the claim is not a member")
	}
	var answer *peerrpc.OutcomeResponse
	failure := a.node.peers.call(ctx, address, func(ctx context.Context, p peerrpc.Peer) (err error) {
		answer, err = p.Outcome(ctx, &peerrpc.OutcomeRequest{
			Customer: a.name.Customer, Service: a.name.Service, KeyHash: ref, Owner: owner.String(), WaitMs: wait.Milliseconds(),
		})
		return err
	})
	if failure != nil {
		return idempotency.Outcome{}, failure
	}
	return idempotency.Outcome{State: idempotency.OutcomeState(answer.State), Response: answer.Response}, nil
}
