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
	// maxClaimAppends is the number of appends per second that all nodes
	// together use for claims, out of the several hundred per second that the
	// log service can handle.
	maxClaimAppends = 300
	// maxAppendInterval ensures that a claim is appended within the time that
	// Begin waits for the log. With more than 150 claiming nodes the appends can
	// exceed maxClaimAppends if all of them claim continuously.
	maxAppendInterval = 500 * time.Millisecond
)

// claimGuards runs the at-most-once guard of the local target's service. It is
// safe for concurrent use.
type claimGuards struct {
	node       *Node
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	mu         sync.Mutex
	byService  map[policy.ServiceName]*claims.Guard
}

func newClaimGuards(n *Node) *claimGuards {
	ctx, stop := context.WithCancel(context.Background())
	return &claimGuards{node: n, ctx: ctx, stop: stop, byService: map[policy.ServiceName]*claims.Guard{}}
}

// get returns the guard of a service, or an error with run state not-run if the
// local target does not serve it.
func (g *claimGuards) get(name policy.ServiceName) (*claims.Guard, *kind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if guard := g.byService[name]; guard != nil {
		return guard, nil
	}
	return nil, kind.Newf(kind.ClaimUnavailable, "this node keeps no claims of %s", name)
}

// ensure starts the guard of a service, or sets the window of a running guard to
// that of the policy.
func (g *claimGuards) ensure(p *policy.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if guard := g.byService[p.Name]; guard != nil {
		if err := guard.SetWindow(p.ClaimWindow); err != nil {
			g.node.log.Error("failed to change the claim window", "service", p.Name.String(), "error", err)
		}
		return
	}
	if !hasNonIdempotent(p) || g.ctx.Err() != nil {
		return
	}
	guard, err := claims.NewGuard(claims.Options{
		Service: p.Name, Process: g.node.id, Log: g.node.config.Log, OutcomeClient: &outcomeClient{g.node, p.Name},
		Config: idempotency.Config{Window: p.ClaimWindow}, Logger: g.node.log.Named("claims"),
	})
	if err != nil {
		g.node.log.Error("failed to start the claim guard", "service", p.Name.String(), "error", err)
		return
	}
	g.byService[p.Name] = guard
	g.goroutines.Go(func() { guard.Run(g.ctx) })
}

// setAppendInterval derives the append interval from the number of nodes that
// may claim, so that all nodes together stay within maxClaimAppends.
func (g *claimGuards) setAppendInterval(claimingNodes int) {
	interval := time.Duration(claimingNodes) * time.Second / maxClaimAppends
	interval = min(max(interval, claims.DefaultAppendInterval), maxAppendInterval)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, guard := range g.byService {
		guard.SetAppendInterval(interval)
	}
}

// close stops all guards and waits for them.
func (g *claimGuards) close() {
	g.stop()
	g.goroutines.Wait()
}

func hasNonIdempotent(p *policy.Policy) bool {
	for i := range p.Classes {
		if p.Classes[i].NonIdempotent {
			return true
		}
	}
	return false
}

// outcomeClient queries the owner of a claim over RPC.
type outcomeClient struct {
	node *Node
	name policy.ServiceName
}

// QueryOutcome implements claims.OutcomeClient.
func (a *outcomeClient) QueryOutcome(ctx context.Context, owner idempotency.ProcessID, keyHash []byte, wait time.Duration) (idempotency.Outcome, error) {
	address, ok := a.node.router.Address(routing.TargetID(uuid.UUID(owner).String()))
	if !ok {
		return idempotency.Outcome{}, kind.New(kind.PeerLost, "the owner of the claim is not a member")
	}
	var response *peerrpc.OutcomeResponse
	failure := a.node.peers.call(ctx, address, func(ctx context.Context, p peerrpc.Peer) (err error) {
		response, err = p.Outcome(ctx, &peerrpc.OutcomeRequest{
			Customer: a.name.Customer, Service: a.name.Service, KeyHash: keyHash, Owner: owner.String(), WaitMs: wait.Milliseconds(),
		})
		return err
	})
	if failure != nil {
		return idempotency.Outcome{}, failure
	}
	return idempotency.Outcome{State: idempotency.OutcomeState(response.State), Response: response.Response}, nil
}
