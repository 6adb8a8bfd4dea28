package node

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

func TestSubCallIsForwardedAcrossNodes(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", nil)
	f.publishPolicy("back", nil)
	f.addTarget(target.Config{Service: "front", Calls: []target.SubCall{{Service: "back.acme", Path: "/items"}}})
	entry, _ := f.addTarget(target.Config{Service: "back"})
	f.waitReady()

	r := f.call(entry, http.MethodGet, "front", "/x?y=1", target.HeaderClientRequest, "1")
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.JSONEq(t, `{"service":"front","path":"/x","request":"1","calls":["back.acme"],"complete":true}`, r.body)
	require.Equal(t, "ran", r.runState())
	require.Empty(t, r.kind())
	require.Equal(t, 1, f.ledger.Executions("1", "back", "/items"))
}

// Guards against invalid input that crashes a node or gets an error response
// without a kind.
func TestInvalidRequestGetsErrorKind(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", func(b *configlog.PolicyBody) { b.MaxRequestBytes = new(int64(4)) })
	n, _ := f.addTarget(target.Config{Service: "front"})
	f.waitReady()
	for _, c := range []struct {
		name, service, method string
		headers               []string
		kind                  string
	}{
		{"service name", "no_such", "GET", nil, "malformed"},
		{"unknown service", "other", "GET", nil, "unknown-service"},
		{"timeout", "front", "GET", []string{chainhttp.HeaderTimeout, "soon"}, "malformed"},
		{"no key", "front", "POST", nil, "key-required"},
		{"bad key", "front", "POST", []string{chainhttp.HeaderKey, "a b"}, "key-malformed"},
	} {
		path := "/x"
		if c.method == "POST" {
			path = "/pay/1"
		}
		r := f.call(n, c.method, c.service, path, c.headers...)
		require.Equal(t, c.kind, r.kind(), c.name)
		require.Equal(t, "not-run", r.runState(), c.name)
	}
	require.Equal(t, http.StatusOK, f.call(n, "GET", "front", "/x").status)
}

// Guards against a second effect when a request is repeated, concurrently or
// later, through other entry nodes.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", nil)
	for range 3 {
		f.addTarget(target.Config{Service: "front", ServiceTime: 20 * time.Millisecond})
	}
	f.waitReady()
	keys := []string{uuid.Must(uuid.NewV7()).String(), "order-17", ""}
	keys[2] = f.issueKey()
	for _, key := range keys {
		var wait sync.WaitGroup
		results := make([]response, 12)
		for i := range results {
			wait.Go(func() {
				results[i] = f.call(f.nodes[i%3], http.MethodPost, "front", "/pay/1", chainhttp.HeaderKey, key, target.HeaderClientRequest, "first")
			})
		}
		wait.Wait()
		for i, r := range results {
			require.Equal(t, http.StatusOK, r.status, "%s %d: %s", key, i, r.body)
		}
		repeat := f.call(f.nodes[1], http.MethodPost, "front", "/pay/1", chainhttp.HeaderKey, key, target.HeaderClientRequest, "late")
		require.Equal(t, "true", repeat.header.Get(chainhttp.HeaderReplayed), repeat.body)
		require.Equal(t, results[0].body, repeat.body)
		require.Equal(t, 1, f.ledger.Effects("front", key))
		other := f.call(f.nodes[0], http.MethodPost, "front", "/pay/2", chainhttp.HeaderKey, key)
		require.Equal(t, "key-reused", other.kind())
	}
}

// Guards against a drain that aborts a request or gives it a wrong response.
func TestDrainCompletesRequestsInProgress(t *testing.T) {
	f := newFixture(t)
	// Without retries, so that a second attempt cannot hide an aborted request.
	f.publishPolicy("front", func(p *configlog.PolicyBody) { p.Classes[1].Retryable = false })
	leaving, leavingTarget := f.addTarget(target.Config{Service: "front", ServiceTime: 100 * time.Millisecond})
	staying, _ := f.addTarget(target.Config{Service: "front", ServiceTime: 100 * time.Millisecond})
	f.waitReady()

	stop := make(chan struct{})
	var wait sync.WaitGroup
	for client := range 6 {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				r := f.call(staying, http.MethodGet, "front", "/x", target.HeaderClientRequest, strconv.Itoa(client)+"-"+strconv.Itoa(i))
				if r.status != http.StatusOK {
					t.Errorf("request failed during the drain: %s", r.body)
				}
			}
		})
	}
	require.Eventually(t, func() bool { return leaving.InProgress() > 0 }, waitTimeout, time.Millisecond)
	leaving.StartDrain()
	<-leaving.Done()
	leavingTarget.Stop()
	close(stop)
	wait.Wait()
}

// Guards against a key that stays claimed after the target declared that the
// request failed without effect: a repeat must run. A failure without that
// declaration is replayed.
func TestFailureWithoutEffectReleasesKey(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", nil)
	var fail atomic.Bool
	n := f.addHandler("front", func(w http.ResponseWriter, r *http.Request) {
		if !fail.Load() {
			return
		}
		if r.URL.Path == "/pay/declared" {
			chainhttp.NoEffect(w)
		}
		w.WriteHeader(http.StatusBadGateway)
	}, nil)
	f.waitReady()
	for path, repeat := range map[string]int{"/pay/declared": http.StatusOK, "/pay/undeclared": http.StatusBadGateway} {
		key := uuid.Must(uuid.NewV7()).String()
		fail.Store(true)
		require.Equal(t, http.StatusBadGateway, f.call(n, http.MethodPost, "front", path, chainhttp.HeaderKey, key).status)
		fail.Store(false)
		require.Equal(t, repeat, f.call(n, http.MethodPost, "front", path, chainhttp.HeaderKey, key).status, path)
	}
}

// Guards against a node that cannot join because none of its configured seeds is
// reachable.
func TestNodesDiscoverSeedsFromLog(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", nil)
	noSeeds := func(c *Config) { c.Seeds = nil }
	for range 2 {
		f.addHandler("front", func(http.ResponseWriter, *http.Request) {}, noSeeds)
		require.Eventually(t, func() bool {
			batch, err := f.log.Read(context.Background(), nodesStream, 0, 10, 0)
			return err == nil && len(batch.Records) == len(f.nodes)
		}, waitTimeout, time.Millisecond)
	}
	f.waitReady()
}
