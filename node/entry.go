package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/claims"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/routing"
	"github.com/goldcrestsail/goldcrestsail/shedding"
)

// keysPath is the path at which a caller requests issued keys. The Host header
// names the service.
const keysPath = "/.well-known/goldcrestsail/keys"

// serveCaller handles a request on the caller address: the start of a chain.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == keysPath {
		n.serveKeys(w, r)
		return
	}
	n.serve(w, r, func(ctx context.Context, q *request) (*peerrpc.CallResponse, *kind.Error) {
		return n.serveClient(ctx, q)
	})
}

// serveSubCall handles a request on the target-side address.
func (n *Node) serveSubCall(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == keysPath {
		n.serveKeys(w, r)
		return
	}
	n.serve(w, r, func(ctx context.Context, q *request) (*peerrpc.CallResponse, *kind.Error) {
		token, ok, err := parseChainToken(r.Header.Get(chainhttp.HeaderTraceState))
		if err != nil {
			return nil, malformed(chainhttp.HeaderTraceState, r.Header.Get(chainhttp.HeaderTraceState), "the token that came with the request")
		}
		if !ok {
			return n.serveWithoutChain(ctx, q)
		}
		return n.serveInChain(ctx, q, token)
	})
}

// serve parses and validates a request, runs handle and writes the response.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, handle func(context.Context, *request) (*peerrpc.CallResponse, *kind.Error)) {
	defer n.inFlight.begin()()
	start := time.Now()
	q := &request{id: uuid.NewString()}
	var response *peerrpc.CallResponse
	failure := n.parseRequest(q, r, start)
	defer n.entryLimiter.release(q)
	if failure == nil {
		failure = n.pinToKeyIssuer(q)
	}
	if failure == nil {
		n.metrics.requests.Inc()
		response, failure = handle(r.Context(), q)
	}
	n.metrics.recordResponse(q, failure, time.Since(start))
	if n.draining.Load() {
		// A request sent on a kept-alive connection would be lost if it arrived
		// while the listener closes.
		w.Header().Set("Connection", "close")
	}
	if failure != nil {
		n.log.Debug("request refused", "request_id", q.id, "service", q.name.String(), "kind", failure.Kind, "run_state", failure.Run, "detail", failure.Detail)
		writeError(w, q.id, failure)
		return
	}
	writeResponse(w, q.id, response)
}

// serveClient starts a chain for a client's request.
func (n *Node) serveClient(ctx context.Context, q *request) (*peerrpc.CallResponse, *kind.Error) {
	if n.draining.Load() {
		return nil, kind.New(kind.Draining, "the node is leaving")
	}
	q.fromClient = true
	q.chainID = newChainID()
	q.services = []string{q.name.String()}
	if failure := n.shedEarly(q); failure != nil {
		return nil, failure
	}
	response, failure := n.forward(ctx, q, newClientAllowance(q.policy.RetryAllowance))
	if failure == nil && response.Status < http.StatusInternalServerError {
		n.recordPath(q, response.Visited)
	}
	return response, failure
}

// serveWithoutChain handles a call from the target that carries no chain token.
// It is not retried, because it cannot be counted against the allowance of its
// chain.
func (n *Node) serveWithoutChain(ctx context.Context, q *request) (*peerrpc.CallResponse, *kind.Error) {
	q.chainID = newChainID()
	q.services = []string{q.name.String()}
	return n.forward(ctx, q, newClientAllowance(0))
}

// serveInChain handles a sub-call of a chain that is running on the local target.
func (n *Node) serveInChain(ctx context.Context, q *request, token chain.Token) (*peerrpc.CallResponse, *kind.Error) {
	parent, ok := n.chains.lookup(token)
	if !ok {
		return nil, kind.New(kind.Canceled, "the request that this sub-call belongs to has ended").WithRun(kind.NotRun)
	}
	q.chainID, q.importance, q.depth = parent.ID, parent.Importance, parent.Depth+1
	q.services = append(slices.Clone(parent.Path), q.name.String())
	if parent.Deadline.Before(q.deadline) {
		q.deadline = parent.Deadline
	}
	if !time.Now().Before(q.deadline) {
		return nil, kind.New(kind.DeadlineExpired, "the deadline of the chain has passed").WithRun(kind.NotRun)
	}
	return n.forward(ctx, q, &chainAllowance{chains: n.chains, token: token, call: chain.Call{
		Service:     q.name.String(),
		Fingerprint: chain.Fingerprint(q.method, q.name.String(), q.path, q.key, chain.BodyHash(q.body)),
		MaxDepth:    q.policy.MaxDepth,
	}})
}

// pinToKeyIssuer routes a request with an issued key to the process that issued
// the key.
func (n *Node) pinToKeyIssuer(q *request) *kind.Error {
	if !q.class.NonIdempotent {
		return nil
	}
	owner, issued, err := claims.Owner(q.key)
	if err != nil {
		return kind.Of(err)
	}
	if !issued {
		return nil
	}
	q.pinned = routing.TargetID(owner.String())
	if _, ok := n.router.Address(q.pinned); !ok {
		return kind.New(kind.ClaimLost, "the process that issued the key is gone")
	}
	return nil
}

// shedEarly refuses a request that an overloaded service on its usual path would
// refuse.
func (n *Node) shedEarly(q *request) *kind.Error {
	n.shedding.mu.Lock()
	defer n.shedding.mu.Unlock()
	verdict := n.shedding.table.Check(shedding.Request{
		Service: q.name.String(), Class: q.class.Name, Importance: q.importance, ChainLevel: admission.ChainLevel(q.chainID),
	}, time.Now(), n.shedding.rng)
	if verdict.Refuse {
		return kind.Newf(kind.ShedEarly, "%s is overloaded", verdict.Service)
	}
	return nil
}

func (n *Node) recordPath(q *request, visited []string) {
	n.shedding.mu.Lock()
	defer n.shedding.mu.Unlock()
	n.shedding.table.Learn(q.name.String(), q.class.Name, visited)
}

// observeLevels records the admission levels that came with a response.
func (n *Node) observeLevels(service string, id routing.TargetID, response *peerrpc.CallResponse, now time.Time) {
	n.shedding.mu.Lock()
	defer n.shedding.mu.Unlock()
	if response.Load != nil {
		n.shedding.table.Observe(service, string(id), admission.Rank(response.Load.AdmissionLevel), now)
	}
	for _, l := range response.Levels {
		n.shedding.table.Observe(l.Service, l.TargetId, admission.Rank(l.AdmissionLevel), now.Add(-time.Duration(l.AgeMs)*time.Millisecond))
	}
}

// downstreamLevels returns the known admission levels of the services that the
// local target has called.
func (n *Node) downstreamLevels(visited []string) []*peerrpc.ServiceLevel {
	if len(visited) < 2 {
		return nil
	}
	now := time.Now()
	n.shedding.mu.Lock()
	defer n.shedding.mu.Unlock()
	var levels []*peerrpc.ServiceLevel
	for _, service := range visited[1:] {
		if level := n.shedding.table.Level(service, now); level != 0 {
			levels = append(levels, &peerrpc.ServiceLevel{Service: service, TargetId: n.id.String(), AdmissionLevel: uint32(level)})
		}
	}
	return levels
}

func newChainID() string {
	var id [16]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// isServiceHost reports whether a Host header names a service, as opposed to
// the node's own address.
func isServiceHost(host string) bool {
	_, err := policy.ParseServiceName(host)
	return err == nil
}
