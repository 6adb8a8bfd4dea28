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

// Node is the daemon beside one target instance. It is safe for concurrent
// use.
type Node struct {
	id      uuid.UUID
	config  Config
	log     hclog.Logger
	metrics *nodeMetrics

	configuration *configuration
	gossip        *gossip.Transport
	router        *directory.Directory
	peers         *peers
	target        *localTarget
	gate          *gate.Gate
	chains        *chains
	guards        *guards
	budgets       *budgets
	shed          sheddingTable
	intake        intake
	quarantine    *quarantineTable

	// discovered is the number of addresses that the log gave at the start.
	discovered int
	// applied is the policy that gate and guard were configured with.
	applied  atomic.Pointer[policy.Policy]
	servers  []*server
	draining atomic.Bool
	// work counts requests in progress in both directions.
	work      workCount
	stopTimer context.CancelFunc
	closeOnce sync.Once
	closed    chan struct{}
}

// sheddingTable is the shedding table, protected by a mutex.
type sheddingTable struct {
	mu    sync.Mutex
	rng   *rand.Rand
	table *shedding.Table
}

// server is one HTTP listener of a node.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// New returns a node that is not started yet.
func New(config Config) *Node {
	config.applyDefaults()
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	n := &Node{
		id: uuid.New(), config: config, peers: newPeers(), target: newLocalTarget(), gate: gate.New(time.Now()),
		chains: &chains{table: chain.NewTable(chain.Config{})}, budgets: newBudgets(), closed: make(chan struct{}),
	}
	n.log = config.Logger.With("node", n.id.String())
	n.router = directory.New(routing.Options{Node: n.id.String()}, config.FailureDomain, rand.New(rand.NewPCG(seed, 1)))
	n.shed.rng = rand.New(rand.NewPCG(seed, 2))
	n.shed.table = shedding.NewTable(shedding.Config{ProtectedImportances: protectedImportances})
	n.guards = newGuards(n)
	n.quarantine = newQuarantineTable(n)
	n.metrics = newNodeMetrics(n)
	n.configuration = newConfiguration(n, seed)
	return n
}

// ID returns the process ID, which is also the ID of the target beside it.
func (n *Node) ID() uuid.UUID { return n.id }

// Start opens the listeners and joins the other nodes. The error has kind
// settings-invalid when an address cannot be used.
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
	n.stopTimer = cancel
	n.configuration.start(ctx)
	go n.watchTarget(ctx)
	go n.announceAddress(ctx, n.discovered)
	if a := n.config.Announcement; a != nil {
		n.announced(*a)
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
	s := &server{name: name, listener: listener, http: &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: 10 * time.Second,
		ErrorLog: n.log.StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true}),
		HTTP2:    &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
	}}
	n.servers = append(n.servers, s)
	go s.http.Serve(listener)
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

// advertisedPeer returns the peer address as other nodes reach it.
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

func (n *Node) configState() *configlog.State { return n.configuration.state() }

func (n *Node) closeServers() {
	for _, s := range n.servers {
		s.http.Close()
	}
}

// ReadyTargets returns how many targets this node could send work to, its own
// included, if its configuration names at least one service.
func (n *Node) ReadyTargets() int {
	if len(n.configState().Policies()) == 0 {
		return 0
	}
	return n.router.UsableTargets(time.Now())
}
