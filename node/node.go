package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/directory"
	"github.com/goldcrestsail/goldcrestsail/gate"
	"github.com/goldcrestsail/goldcrestsail/gossip"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/peerrpc"
	"github.com/goldcrestsail/goldcrestsail/policy"
	"github.com/goldcrestsail/goldcrestsail/routing"
	"github.com/goldcrestsail/goldcrestsail/shedding"
)

// Node is the sidecar daemon of one target instance. It is safe for concurrent
// use.
type Node struct {
	id      uuid.UUID
	config  Config
	log     hclog.Logger
	metrics *nodeMetrics

	configUpdater *configUpdater
	gossip        *gossip.Transport
	router        *directory.Directory
	peers         *peerPool
	target        *localTarget
	gate          *gate.Gate
	chains        *chainTable
	claimGuards   *claimGuards
	retryBudgets  *budgets
	shedding      sheddingTable
	entryLimiter  entryLimiter
	quarantine    *quarantineTable

	// discoveredSeeds is the number of seed addresses read from the log at
	// startup.
	discoveredSeeds int
	// appliedPolicy is the policy that the gate and the claim guard are
	// configured with.
	appliedPolicy atomic.Pointer[policy.Policy]
	servers       []*server
	draining      atomic.Bool
	// inFlight counts requests in progress in both directions.
	inFlight       inFlightCounter
	stopBackground context.CancelFunc
	closeOnce      sync.Once
	closed         chan struct{}
}

// sheddingTable is a shedding.Table protected by a mutex.
type sheddingTable struct {
	mu    sync.Mutex
	rng   *rand.Rand
	table *shedding.Table
}

// server is one HTTP listener of a node.
type server struct {
	name       string
	httpServer *http.Server
	listener   net.Listener
}

// New returns a node that is not started yet.
func New(config Config) *Node {
	config.applyDefaults()
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	n := &Node{
		id: uuid.New(), config: config, peers: newPeerPool(), target: newLocalTarget(), gate: gate.New(time.Now()),
		chains: &chainTable{table: chain.NewTable(chain.Config{})}, retryBudgets: newBudgets(), closed: make(chan struct{}),
	}
	n.log = config.Logger.With("node", n.id.String())
	n.router = directory.New(routing.Options{Node: n.id.String()}, config.FailureDomain, rand.New(rand.NewPCG(seed, 1)))
	n.shedding.rng = rand.New(rand.NewPCG(seed, 2))
	n.shedding.table = shedding.NewTable(shedding.Config{ProtectedImportances: protectedImportances})
	n.claimGuards = newClaimGuards(n)
	n.quarantine = newQuarantineTable(n)
	n.metrics = newNodeMetrics(n)
	n.configUpdater = newConfigUpdater(n, seed)
	return n
}

// ID returns the ID of the node process, which is also the ID of its target.
func (n *Node) ID() uuid.UUID { return n.id }

// Start opens the listeners and joins the gossip group. The error has kind
// settings-invalid if an address cannot be used.
func (n *Node) Start() error {
	var h2c http.Protocols
	h2c.SetHTTP1(true)
	h2c.SetUnencryptedHTTP2(true)
	for _, s := range []struct {
		name, address string
		handler       http.Handler
		protocols     *http.Protocols
	}{
		{"caller", n.config.CallerAddress, http.HandlerFunc(n.serveCaller), &h2c},
		{"target-side", n.config.TargetSideAddress, n.targetSideHandler(), nil},
		{"peer", n.config.PeerAddress, peerrpc.NewPeerServer(&peerService{n}), &h2c},
		{"admin", n.config.AdminAddress, n.adminHandler(), nil},
	} {
		if err := n.listen(s.name, s.address, s.handler, s.protocols); err != nil {
			n.closeServers()
			return err
		}
	}
	if err := n.join(); err != nil {
		n.closeServers()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stopBackground = cancel
	n.configUpdater.start(ctx)
	go n.watchTarget(ctx)
	go n.publishAddress(ctx, n.discoveredSeeds)
	if a := n.config.Announcement; a != nil {
		n.applyAnnouncement(*a)
	}
	n.log.Info("node started", "caller", n.Address("caller"), "target_side", n.Address("target-side"),
		"peer", n.Address("peer"), "gossip", n.gossip.Addr().String(), "admin", n.Address("admin"),
		"failure_domain", n.config.FailureDomain, "region", n.config.Region)
	return nil
}

func (n *Node) listen(name, address string, handler http.Handler, protocols *http.Protocols) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return kind.Newf(kind.SettingsInvalid, "%s address %q: %v", name, address, err)
	}
	s := &server{name: name, listener: listener, httpServer: &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: 10 * time.Second,
		ErrorLog: n.log.StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true}),
		HTTP2:    &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
	}}
	n.servers = append(n.servers, s)
	go s.httpServer.Serve(listener)
	return nil
}

// Address returns the address of the listener with the given name: caller,
// target-side, peer or admin.
func (n *Node) Address(name string) string {
	for _, s := range n.servers {
		if s.name == name {
			return s.listener.Addr().String()
		}
	}
	return ""
}

// GossipAddress returns the UDP address that other nodes can use as a seed.
func (n *Node) GossipAddress() string { return n.gossip.Addr().String() }

// advertisedPeer returns the peer address that is advertised to other nodes.
func (n *Node) advertisedPeer() netip.AddrPort {
	address := n.config.AdvertisePeer
	if address == "" {
		address = n.Address("peer")
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func (n *Node) policyOf(name policy.ServiceName) *policy.Policy {
	return n.configState().Policy(name)
}

func (n *Node) configState() *configlog.State { return n.configUpdater.state() }

func (n *Node) closeServers() {
	for _, s := range n.servers {
		s.httpServer.Close()
	}
}

// ReadyTargets returns the number of targets that this node can route requests
// to, including its own. It returns 0 if the configuration has no policy.
func (n *Node) ReadyTargets() int {
	if len(n.configState().Policies()) == 0 {
		return 0
	}
	return n.router.UsableTargets(time.Now())
}
