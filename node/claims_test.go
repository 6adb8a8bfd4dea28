package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/admission"
	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/configlog"
)

// Guards against an admission check before the claim lookup: a repeat of a
// request that ran needs no slot and must get the stored response.
func TestStoredResponseIsReplayedUnderOverload(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", func(p *configlog.PolicyBody) {
		p.Slots, p.RetryAllowance, p.QueueTimeoutMS = new(1), new(0), new(int64(20))
	})
	release := make(chan struct{})
	n := f.addHandler("front", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay/blocked" {
			<-release
		}
	}, nil)
	defer close(release)
	f.waitReady()
	key := uuid.Must(uuid.NewV7()).String()
	require.Equal(t, http.StatusOK, f.call(n, http.MethodPost, "front", "/pay/1", chainhttp.HeaderKey, key).status)

	go func() {
		r, err := http.NewRequest(http.MethodPost, "http://"+n.Address("caller")+"/pay/blocked", nil)
		if err != nil {
			return
		}
		r.Host = "front.acme"
		r.Header.Set(chainhttp.HeaderKey, uuid.Must(uuid.NewV7()).String())
		if response, err := f.client.Do(r); err == nil {
			response.Body.Close()
		}
	}()
	lowest := admission.MakeRank(0, false, admission.ChainLevels-1)
	require.Eventually(t, func() bool {
		f.call(n, http.MethodPost, "front", "/pay/2", chainhttp.HeaderKey, uuid.Must(uuid.NewV7()).String())
		return lowest.RefusedAt(n.gate.Level())
	}, waitTimeout, time.Millisecond)
	for range 20 {
		r := f.call(n, http.MethodPost, "front", "/pay/1", chainhttp.HeaderKey, key)
		require.Equal(t, "true", r.header.Get(chainhttp.HeaderReplayed), r.body)
	}
}

// Guards against retries during a log outage, each of which would wait for the
// log again: all nodes of the service depend on the same log.
func TestLogOutageIsReportedAfterOneAttempt(t *testing.T) {
	f := newFixture(t)
	f.publishPolicy("front", nil)
	ok := func(http.ResponseWriter, *http.Request) {}
	for range 3 {
		f.addHandler("front", ok, nil)
	}
	f.waitReady()
	f.log.SetOutage(true)
	r := f.call(f.nodes[0], http.MethodPost, "front", "/pay/1", chainhttp.HeaderKey, uuid.Must(uuid.NewV7()).String())
	require.Equal(t, "claim-unavailable", r.kind(), r.body)
	require.Equal(t, "not-run", r.runState())
	refusals := 0
	for _, n := range f.nodes {
		var b strings.Builder
		n.metrics.write(&b)
		refusals += strings.Count(b.String(), `goldcrestsail_target_failures_total{kind="claim-unavailable"} 1`)
	}
	require.Equal(t, 1, refusals)
}
