package processtest

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
)

const frontClaimsStream = "claims.acme.front"

// claims returns the claims of front in the log from an offset on, and the next
// offset.
func (c *cluster) claims(t *testing.T, from uint64) ([]idempotency.Record, uint64) {
	t.Helper()
	client := logservice.NewHTTPClient(logservice.HTTPOptions{URL: c.logURL()})
	batch, err := client.Read(t.Context(), frontClaimsStream, from, logservice.MaxReadRecords, 0)
	require.NoError(t, err)
	var claims []idempotency.Record
	for _, r := range batch.Records {
		if record, err := idempotency.DecodeRecord(r.Data); err == nil && record.Type == idempotency.RecordClaim {
			claims = append(claims, record)
		}
	}
	return claims, batch.Next
}

// targetFull reports whether the target of a member has no free slot and all
// requests of fillTargets have reached it. The limit may be below the number of
// slots: it is lowered when earlier requests were slow, and rises only when
// requests end.
func (c *cluster) targetFull(m *member) bool {
	var dump struct {
		Queue struct{ Limit, Running, Waiting int }
	}
	_ = json.Unmarshal([]byte(c.get(m, "/dump?section=queue")), &dump)
	q := dump.Queue
	return q.Limit > 0 && q.Running >= q.Limit && q.Running+q.Waiting >= slots
}

// callPeer sends a request directly to the node beside a target, as an entry node
// does, so that the test and not routing decides where it runs.
func (c *cluster) callPeer(t *testing.T, m *member, method, path, key string) *peerrpc.CallResponse {
	t.Helper()
	var dump struct{ Node struct{ Peer string } }
	_ = json.Unmarshal([]byte(c.get(m, "/dump?section=node")), &dump)
	hash := xxhash.New()
	for _, part := range []string{"acme", "front", method, path} {
		_, _ = hash.WriteString(part + "\x00")
	}
	response, err := peerrpc.NewPeerProtobufClient("http://"+dump.Node.Peer, c.client).Call(t.Context(), &peerrpc.CallRequest{
		RequestId: newID(), Customer: "acme", Service: "front", TargetId: m.id, Method: method, Path: path,
		TimeoutMicros: c.client.Timeout.Microseconds(), ChainId: strings.ReplaceAll(newID(), "-", ""),
		PathServices: []string{"front.acme"}, NonIdempotent: key != "", Key: key, Fingerprint: hash.Sum64(),
	})
	if err != nil {
		return nil
	}
	return response
}

// fillTargets occupies every free slot of all targets of front and returns a
// function that releases them.
func (c *cluster) fillTargets(t *testing.T) (release func()) {
	t.Helper()
	path := "/fill/" + newID()
	release = c.ledger.hold(path)
	t.Cleanup(release)
	for _, m := range c.membersOf("front") {
		for range slots {
			go c.callPeer(t, m, http.MethodGet, path, "")
		}
	}
	waitFor(t, "all slots to be taken", func() bool {
		for _, m := range c.membersOf("front") {
			if !c.targetFull(m) {
				return false
			}
		}
		return true
	})
	return release
}

// Guards against a second effect when the owner of a claim is frozen between
// claiming and running the request while the caller repeats it through another
// node. The owner has no free slot, so it runs the request only after it resumes.
func TestNoSecondEffectWhenClaimOwnerIsFrozen(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "front", "front", "back")
	c.timeoutMS, c.queueTimeoutMS = 60_000, 60_000
	c.client.Timeout = 60 * time.Second
	c.publishBoth(t)
	for _, keyType := range []string{"uuid", "opaque"} {
		t.Run(keyType, func(t *testing.T) {
			release := c.fillTargets(t)
			members := c.membersOf("front")
			owner, other := members[0], members[1]
			path, key := c.claimAt(t, owner, keyType)
			owner.node.signal(syscall.SIGSTOP)
			t.Cleanup(func() { owner.node.signal(syscall.SIGCONT) })
			release()

			waitFor(t, "the repeat through another node to be refused", func() bool {
				a := c.send(other, http.MethodPost, path, newID(), key)
				require.NotEqual(t, http.StatusOK, a.status, "the repeat was served by another node than the owner")
				return a.kind == "claim-lost" && a.runState == "may-have-run"
			})
			require.Zero(t, c.ledger.Effects("front", key))
			owner.node.signal(syscall.SIGCONT)
			waitFor(t, "the owner to run the request", func() bool { return c.ledger.Effects("front", key) > 0 })
			waitFor(t, "repeats to get the stored answer", func() bool {
				return c.send(other, http.MethodPost, path, newID(), key).replayed
			})
			require.Equal(t, 1, c.ledger.Effects("front", key))
			require.Equal(t, 1, c.ledger.count(func(s start) bool { return s.path == path }))
			c.waitServing(t)
		})
	}
}

// claimAt sends a request with a new key to the owner and waits until its claim
// has won. It returns the path and the key. The request then waits for a free
// slot.
func (c *cluster) claimAt(t *testing.T, owner *member, keyType string) (path, key string) {
	t.Helper()
	key = uuid.Must(uuid.NewV7()).String()
	if keyType == "opaque" {
		key = "opaque-" + newID()
	}
	parsed, err := idempotency.ParseKey(key)
	require.NoError(t, err)
	path = "/pay/" + newID()
	_, from := c.claims(t, 0)
	go c.callPeer(t, owner, http.MethodPost, path, key)
	waitFor(t, "the owner to win the claim", func() bool {
		claims, next := c.claims(t, from)
		for _, claim := range claims {
			if claim.Hash == parsed.Hash {
				return claim.Owner.String() == owner.id && c.claimsRead(owner) >= next
			}
		}
		return false
	})
	return path, key
}

// claimsRead returns the offset up to which a member has read the claims.
func (c *cluster) claimsRead(m *member) uint64 {
	var dump struct {
		Claims map[string]idempotency.Dump
	}
	_ = json.Unmarshal([]byte(c.get(m, "/dump?section=claims")), &dump)
	return dump.Claims["front.acme"].Next
}
