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

// keysPath is where a caller asks for issued keys, with the service in Host.
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
		token, ok, err := tokenOf(r.Header.Get(chainhttp.HeaderTraceState))
		if err != nil {
			return nil, malformed(chainhttp.HeaderTraceState, r.Header.Get(chainhttp.HeaderTraceState), "the token that came with the request")
		}
		if !ok {
			return n.serveUnchained(ctx, q)
		}
		return n.serveChained(ctx, q, token)
	})
}

// serve checks a request, runs it and writes the whole response.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, run func(context.Context, *request) (*peerrpc.CallResponse, *kind.Error)) {
	defer n.work.begin()()
	start := time.Now()
	q := &request{id: uuid.NewString()}
	var response *peerrpc.CallResponse
	failure := n.parseRequest(q, r, start)
	defer n.intake.release(q)
	if failure == nil {
		failure = n.pinIssuedKey(q)
	}
	if failure == nil {
		n.metrics.entered.Inc()
		response, failure = run(r.Context(), q)
	}
	n.metrics.answered(q, failure, time.Since(start))
	if n.draining.Load() {
		// A caller that keeps its connection would lose the request that it
		// sends while the listener closes.
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
	q.fresh = true
	q.chainID = newChainID()
	q.services = []string{q.name.String()}
	if failure := n.shedEarly(q); failure != nil {
		return nil, failure
	}
	response, failure := n.forward(ctx, q, newClientAttempts(q.policy.RetryAllowance))
	if failure == nil && response.Status < http.StatusInternalServerError {
		n.learnPath(q, response.Visited)
	}
	return response, failure
}

// serveUnchained handles a target's call without a chain. It gets no retry,
// because the retries of its chain cannot be counted.
func (n *Node) serveUnchained(ctx context.Context, q *request) (*peerrpc.CallResponse, *kind.Error) {
	q.chainID = newChainID()
	q.services = []string{q.name.String()}
	return n.forward(ctx, q, newClientAttempts(0))
}

// serveChained handles a sub-call of a chain that runs at this node's target.
func (n *Node) serveChained(ctx context.Context, q *request, token chain.Token) (*peerrpc.CallResponse, *kind.Error) {
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
	return n.forward(ctx, q, &chainAttempts{chains: n.chains, token: token, call: chain.Call{
		Service:     q.name.String(),
		Fingerprint: chain.Fingerprint(q.method, q.name.String(), q.path, q.key, chain.BodyHash(q.body)),
		MaxDepth:    q.policy.MaxDepth,
	}})
}

// pinIssuedKey binds a request with an issued key to the process that issued it.
func (n *Node) pinIssuedKey(q *request) *kind.Error {
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

// shedEarly refuses a request that a service on its usual path would refuse.
func (n *Node) shedEarly(q *request) *kind.Error {
	n.shed.mu.Lock()
	defer n.shed.mu.Unlock()
	verdict := n.shed.table.Check(shedding.Request{
		Service: q.name.String(), Class: q.class.Name, Importance: q.importance, ChainLevel: admission.ChainLevel(q.chainID),
	}, time.Now(), n.shed.rng)
	if verdict.Refuse {
		return kind.Newf(kind.ShedEarly, "%s is overloaded", verdict.Service)
	}
	return nil
}

func (n *Node) learnPath(q *request, visited []string) {
	n.shed.mu.Lock()
	defer n.shed.mu.Unlock()
	n.shed.table.Learn(q.name.String(), q.class.Name, visited)
}

// observeLevels records the admission levels that came with a response.
func (n *Node) observeLevels(service string, id routing.TargetID, response *peerrpc.CallResponse, now time.Time) {
	n.shed.mu.Lock()
	defer n.shed.mu.Unlock()
	if response.Load != nil {
		n.shed.table.Observe(service, string(id), admission.Rank(response.Load.AdmissionLevel), now)
	}
	for _, l := range response.Levels {
		n.shed.table.Observe(l.Service, l.TargetId, admission.Rank(l.AdmissionLevel), now.Add(-time.Duration(l.AgeMs)*time.Millisecond))
	}
}

// levelsOf returns what this node knows about the services below its target.
func (n *Node) levelsOf(visited []string) []*peerrpc.ServiceLevel {
	if len(visited) < 2 {
		return nil
	}
	now := time.Now()
	n.shed.mu.Lock()
	defer n.shed.mu.Unlock()
	var levels []*peerrpc.ServiceLevel
	for _, service := range visited[1:] {
		if level := n.shed.table.Level(service, now); level != 0 {
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

// serviceOfHost reports whether a Host header names a service, as opposed to
// the node's own address.
func serviceOfHost(host string) bool {
	_, err := policy.ParseServiceName(host)
	return err == nil
}
