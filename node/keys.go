package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// maxKeyRequestBytes limits the body of a key request.
const maxKeyRequestBytes = 4 << 10

// issuedKeys is the response body of a key request.
type issuedKeys struct {
	Keys         []string `json:"keys"`
	ValidSeconds int64    `json:"valid_seconds"`
}

// serveKeys issues idempotency keys that are bound to one process of a service.
func (n *Node) serveKeys(w http.ResponseWriter, r *http.Request) {
	defer n.inFlight.begin()()
	requestID := uuid.NewString()
	keys, failure := n.issueKeys(r)
	if failure != nil {
		writeError(w, requestID, failure)
		return
	}
	body, err := json.Marshal(keys)
	if err != nil {
		writeError(w, requestID, kind.New(kind.Internal, err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

func (n *Node) issueKeys(r *http.Request) (*issuedKeys, *kind.Error) {
	name, err := policy.ParseServiceName(r.Host)
	if err != nil {
		return nil, kind.Of(err)
	}
	if r.Method != http.MethodPost {
		return nil, malformed("method", r.Method, "POST")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxKeyRequestBytes))
	if err != nil {
		return nil, malformed("body", err.Error(), "a complete body")
	}
	request := struct {
		Count uint32 `json:"count"`
	}{Count: 1}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, malformed("body", string(body), `{"count": N}`)
		}
	}
	start := time.Now()
	id, address, failure := n.router.Pick(start, name.String(), routing.PickInput{})
	if failure != nil {
		return nil, failure
	}
	var response *peerrpc.IssueKeysResponse
	failure = n.peers.call(r.Context(), address, func(ctx context.Context, p peerrpc.Peer) (err error) {
		response, err = p.IssueKeys(ctx, &peerrpc.IssueKeysRequest{
			Customer: name.Customer, Service: name.Service, Count: request.Count,
		})
		return err
	})
	result := routing.Result{Latency: time.Since(start), Status: http.StatusOK}
	if failure != nil {
		result = routing.Result{Kind: failure.Kind}
	}
	n.router.Done(time.Now(), name.String(), id, result)
	if failure != nil {
		// A key that was issued but did not reach the caller is never used.
		return nil, failure.WithRun(kind.NotRun)
	}
	return &issuedKeys{response.Keys, response.ValidSeconds}, nil
}
