package node

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"

	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// maxOutcomeWait limits how long the outcome query of a peer may wait.
const maxOutcomeWait = 10 * time.Second

// peerService serves the RPCs from other nodes.
type peerService struct{ node *Node }

var _ peerrpc.Peer = (*peerService)(nil)

// Call implements peerrpc.Peer.
func (s *peerService) Call(ctx context.Context, call *peerrpc.CallRequest) (*peerrpc.CallResponse, error) {
	if call.RequestId == "" || call.Method == "" || call.Path == "" || call.ChainId == "" {
		return nil, twirp.RequiredArgumentError("request_id, method, path and chain_id")
	}
	return s.node.execute(ctx, call), nil
}

// Outcome implements peerrpc.Peer.
func (s *peerService) Outcome(ctx context.Context, q *peerrpc.OutcomeRequest) (*peerrpc.OutcomeResponse, error) {
	owner, err := uuid.Parse(q.Owner)
	if err != nil {
		return nil, twirp.InvalidArgumentError("owner", "want a UUID")
	}
	guard, failure := s.node.claimGuards.get(policy.ServiceName{Customer: q.Customer, Service: q.Service})
	if failure != nil {
		return &peerrpc.OutcomeResponse{}, nil
	}
	wait := min(time.Duration(q.WaitMs)*time.Millisecond, maxOutcomeWait)
	outcome := guard.Outcome(ctx, q.KeyHash, owner, wait)
	return &peerrpc.OutcomeResponse{State: peerrpc.OutcomeResponse_State(outcome.State), Response: outcome.Response}, nil
}

// PullConfig implements peerrpc.Peer.
func (s *peerService) PullConfig(_ context.Context, q *peerrpc.PullConfigRequest) (*peerrpc.PullConfigResponse, error) {
	return &peerrpc.PullConfigResponse{
		Offset: s.node.configState().Offset(), Snapshot: s.node.configUpdater.runner.Encode(q.HaveOffset),
	}, nil
}

// Ping implements peerrpc.Peer.
func (s *peerService) Ping(context.Context, *peerrpc.PingRequest) (*peerrpc.PingResponse, error) {
	return &peerrpc.PingResponse{}, nil
}

// IssueKeys implements peerrpc.Peer.
func (s *peerService) IssueKeys(_ context.Context, q *peerrpc.IssueKeysRequest) (*peerrpc.IssueKeysResponse, error) {
	guard, failure := s.node.claimGuards.get(policy.ServiceName{Customer: q.Customer, Service: q.Service})
	if failure != nil {
		return nil, twirp.NotFoundError(failure.Error())
	}
	keys, valid, err := guard.IssueKeys(int(q.Count))
	if err != nil {
		return nil, twirp.InvalidArgumentError("count", err.Error())
	}
	return &peerrpc.IssueKeysResponse{Keys: keys, ValidSeconds: int64(valid / time.Second)}, nil
}
