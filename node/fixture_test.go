package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// waitTimeout limits waits for conditions that have no deadline of their own.
const waitTimeout = 20 * time.Second

// fixture is a cluster of nodes with targets on loopback sockets.
type fixture struct {
	t       testing.TB
	log     *logstore.Store
	ledger  *target.Ledger
	nodes   []*Node
	targets []*target.Target
	client  *http.Client
}

const anyLoopbackPort = "127.0.0.1:0"

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, log: logstore.New(logstore.Options{}), ledger: target.NewLedger(), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(f.client.CloseIdleConnections)
	return f
}

// publishPolicy appends the policy of a service with one read class and one
// non-idempotent class.
func (f *fixture) publishPolicy(service string, change func(*configlog.PolicyBody)) {
	timeout := int64(5000)
	body := &configlog.PolicyBody{
		Slots: new(8), Connections: new(32), RetryAllowance: new(2), ColdStartMS: new(int64(1)),
		Classes: []configlog.ClassBody{
			{Name: "pay", Importance: new(0), NonIdempotent: true, TimeoutMS: &timeout, Match: []policy.Match{{Methods: []string{"POST"}, Path: "/pay/**"}}},
			{Name: "read", Importance: new(5), Retryable: true, TimeoutMS: &timeout, Match: []policy.Match{{Path: "/**"}}},
		},
	}
	if change != nil {
		change(body)
	}
	record := &configlog.Record{
		Schema: configlog.Schema2, ID: uuid.NewString(), Name: policy.ServiceName{Customer: "acme", Service: service},
		Op: configlog.Put, Author: "test", Policy: body,
	}
	_, err := f.log.Append(context.Background(), configlog.Stream, record.Encode())
	require.NoError(f.t, err)
}

// startNode starts a node; change adjusts its configuration.
func (f *fixture) startNode(change func(*Config)) *Node {
	config := Config{
		CallerAddress: anyLoopbackPort, TargetSideAddress: anyLoopbackPort, PeerAddress: anyLoopbackPort, GossipAddress: anyLoopbackPort, AdminAddress: anyLoopbackPort,
		FailureDomain: "domain", Log: f.log, Seed: uint64(len(f.nodes) + 1),
	}
	if len(f.nodes) > 0 {
		config.Seeds = []string{f.nodes[0].GossipAddress()}
	}
	if change != nil {
		change(&config)
	}
	n := New(config)
	require.NoError(f.t, n.Start())
	f.nodes = append(f.nodes, n)
	f.t.Cleanup(func() {
		select {
		case <-n.Done():
		default:
			n.Close()
		}
	})
	return n
}

// addTarget starts a node with a stand-in target.
func (f *fixture) addTarget(config target.Config) (*Node, *target.Target) {
	n := f.startNode(nil)
	config.Customer, config.Address, config.NodeAddress, config.Ledger = "acme", anyLoopbackPort, n.Address("target-side"), f.ledger
	if config.Slots == 0 {
		config.Slots = 8
	}
	tgt := target.New(config)
	require.NoError(f.t, tgt.Start())
	f.targets = append(f.targets, tgt)
	f.t.Cleanup(tgt.Stop)
	return n, tgt
}

// addHandler starts a node with a local target that runs handler.
func (f *fixture) addHandler(service string, handler http.HandlerFunc, change func(*Config)) *Node {
	server := httptest.NewServer(handler)
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return f.startNode(func(c *Config) {
		c.Announcement = &Announcement{Customer: "acme", Service: service, Address: server.Listener.Addr().String(), State: Ready}
		if change != nil {
			change(c)
		}
	})
}

// waitReady waits until every node can route requests to every target and its
// claim guard is ready.
func (f *fixture) waitReady() {
	for _, n := range f.nodes {
		require.Eventually(f.t, func() bool { return n.ReadyTargets() == len(f.nodes) && n.claimsReady() }, waitTimeout, 5*time.Millisecond)
	}
}

// claimsReady reports whether the guard of the local target's service runs and
// has loaded the claims of its window.
func (n *Node) claimsReady() bool {
	a, _ := n.target.current()
	guard, failure := n.claimGuards.get(a.service())
	return failure == nil && guard.Ready()
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   string
}

func (r response) kind() string     { return r.header.Get(chainhttp.HeaderKind) }
func (r response) runState() string { return r.header.Get(chainhttp.HeaderRunState) }

// call sends a request to the caller address of a node.
func (f *fixture) call(n *Node, method, service, path string, headers ...string) response {
	r, err := http.NewRequest(method, "http://"+n.Address("caller")+path, nil)
	require.NoError(f.t, err)
	r.Host = service + ".acme"
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(r)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return response{resp.StatusCode, resp.Header, strings.TrimSpace(string(body))}
}

// issueKey requests one issued key from the first node.
func (f *fixture) issueKey() string {
	r := f.call(f.nodes[0], http.MethodPost, "front", keysPath)
	var keys issuedKeys
	require.NoError(f.t, json.Unmarshal([]byte(r.body), &keys), r.body)
	require.Len(f.t, keys.Keys, 1)
	return keys.Keys[0]
}
