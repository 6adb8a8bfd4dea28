package processtest

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

const claimsOfFront = "claims.acme.front"

// claims returns the claims in the log from an offset on, and the next offset.
func (c *cluster) claims(t *testing.T, from uint64) ([]idempotency.Record, uint64) {
	t.Helper()
	client := logservice.NewHTTPClient(logservice.HTTPOptions{URL: c.logURL()})
	batch, err := client.Read(t.Context(), claimsOfFront, from, logservice.MaxReadRecords, 0)
	require.NoError(t, err)
	var claims []idempotency.Record
	for _, r := range batch.Records {
		if record, err := idempotency.DecodeRecord(r.Data); err == nil && record.Type == idempotency.RecordClaim {
			claims = append(claims, record)
		}
	}
	return claims, batch.Next
}

// running returns how many requests run at the target of a member.
func (c *cluster) running(m *member) int {
	var dump struct{ Queue struct{ Running int } }
	_ = json.Unmarshal([]byte(c.get(m, "/dump?section=queue")), &dump)
	return dump.Queue.Running
}

// fill holds requests at all targets of front until every slot is taken, and
// returns the function that lets them go.
func (c *cluster) fill(t *testing.T) (release func()) {
	t.Helper()
	path := "/fill/" + newID()
	release = c.ledger.hold(path)
	t.Cleanup(release)
	members := c.of("front")
	waitFor(t, "all slots to be taken", func() bool {
		full := true
		for i, m := range members {
			if c.running(m) < slots {
				full = false
				go c.send(members[i], http.MethodGet, path, newID(), "")
			}
		}
		return full
	})
	return release
}

// Guards against a second effect when the holder of a claim is frozen between
// its claim and its write while the caller repeats the request elsewhere. The
// holder has no free slot, so its write comes after it goes on.
func TestFrozenHolderOfAClaim(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "front", "front", "back")
	c.timeoutMS, c.queueTimeoutMS = 60_000, 60_000
	c.client.Timeout = 60 * time.Second
	c.publishBoth(t)
	for _, form := range []string{"uuid", "opaque"} {
		t.Run(form, func(t *testing.T) {
			release := c.fill(t)
			members := c.of("front")
			holder, other := members[0], members[1]
			path, key := c.claimAt(t, holder, form)
			holder.node.signal(syscall.SIGSTOP)
			t.Cleanup(func() { holder.node.signal(syscall.SIGCONT) })
			release()

			waitFor(t, "the repeat elsewhere to be refused", func() bool {
				a := c.send(other, http.MethodPost, path, newID(), key)
				require.NotEqual(t, http.StatusOK, a.status, "the repeat was served beside the holder")
				return a.kind == "claim-lost" && a.runState == "may-have-run"
			})
			require.Zero(t, c.ledger.Effects("front", key))
			holder.node.signal(syscall.SIGCONT)
			waitFor(t, "the holder to run the request", func() bool { return c.ledger.Effects("front", key) > 0 })
			waitFor(t, "repeats to get the stored answer", func() bool {
				return c.send(other, http.MethodPost, path, newID(), key).replayed
			})
			require.Equal(t, 1, c.ledger.Effects("front", key))
			require.Equal(t, 1, c.ledger.count(func(s start) bool { return s.path == path }))
			c.waitServing(t)
		})
	}
}

// claimAt sends requests with new keys through a member until the member
// itself has won the claim of one, and returns its path and key. The request
// then waits for a slot; its caller stays connected to the holder.
func (c *cluster) claimAt(t *testing.T, holder *member, form string) (path, key string) {
	t.Helper()
	won := false
	waitFor(t, "a claim of the entry node", func() bool {
		key = uuid.Must(uuid.NewV7()).String()
		if form == "opaque" {
			key = "opaque-" + newID()
		}
		parsed, err := idempotency.ParseKey(key)
		require.NoError(t, err)
		path = "/pay/" + newID()
		_, from := c.claims(t, 0)
		ended := make(chan answer, 1)
		go func() { ended <- c.send(holder, http.MethodPost, path, newID(), key) }()
		waitFor(t, "the claim, or a refusal", func() bool {
			claims, next := c.claims(t, from)
			for _, claim := range claims {
				if claim.Hash == parsed.Hash {
					won = claim.Owner.String() == holder.id && c.claimsRead(holder) >= next
					return won || claim.Owner.String() != holder.id
				}
			}
			return len(ended) > 0
		})
		return won
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
