package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/chainadmission"
	"github.com/goldcrestsail/goldcrestsail/directory"
	"github.com/goldcrestsail/goldcrestsail/gate"
	"github.com/goldcrestsail/goldcrestsail/gossip"
	"github.com/goldcrestsail/goldcrestsail/httpconn"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/nodelog"
	"github.com/goldcrestsail/goldcrestsail/peerlink"
	"github.com/goldcrestsail/goldcrestsail/routetable"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

const (
	// domainFactor, fullUtilization and saturatedFactor keep calls in the failure
	// domain, since bytes between domains are dear: a target there may be three
	// times as slow, as long as it has a slot free, and 1.7 times as loaded when all
	// are full.
	domainFactor    = 3.0
	fullUtilization = 1.0
	saturatedFactor = 1.7
	// maxLatencyFactor lets a target that is twelve times as slow lose its work.
	maxLatencyFactor = 16.0
	// loadLogInterval bounds the lines about an overloaded target and about a
	// retry budget that does not suffice.
	loadLogInterval = 500 * time.Millisecond
	// defaultTimeout is the time left of a request that states none.
	defaultTimeout = 30 * time.Second
	// tickInterval is how often periodic work is looked at.
	tickInterval = peerlink.CheckInterval
)

// Node is the process beside one target. It is safe for concurrent use.
type Node struct {
	config  Config
	id      uuid.UUID
	log     hclog.Logger
	metrics *nodeMetrics

	configuration *configuration
	target        *target
	client        *httpconn.Target
	gate          *gate.Gate
	running       *running
	directory     *directory.Directory
	peers         *peerlink.Pool
	budgets       *budgets
	chains        struct {
		mu    sync.Mutex
		rng   *rand.Rand
		table *chainadmission.Table
	}

	callers    *httpconn.Server
	peerServer *peerlink.Server
	// gossip is set when joined is closed.
	gossip *gossip.Transport
	joined chan struct{}

	service  atomic.Pointer[string]
	draining atomic.Bool
	// closing reports that the target gets no more work.
	closing atomic.Bool
	// grace holds a time.Duration.
	grace atomic.Int64
	// work counts requests in progress of callers and of peers.
	work atomic.Int64
	stop context.CancelFunc
	// lines bounds the lines about requests; answered counts answered requests.
	lines            *nodelog.Limiter
	answered         atomic.Uint64
	suppressedLogged time.Time
	// loadLogged is when the load of the target was last logged, budgetsLogged the
	// same for the retry budgets.
	loadLogged, budgetsLogged time.Time
	// suspects holds the addresses of the peers that do not answer probes; it
	// belongs to tick.
	suspects map[string]bool
	// storeInTouch reports that the last call to the store was answered.
	storeInTouch atomic.Bool
	// saving is held while the node's record is replaced.
	saving sync.Mutex
	// storeTried reports that a call to the store has ended.
	storeTried atomic.Bool
	// pulling is true while a configuration is fetched from a peer.
	pulling atomic.Bool
}

// New returns a node that is not started yet.
func New(config Config) *Node {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	n := &Node{
		config: config, id: uuid.New(), log: config.Logger,
		configuration: newConfiguration(), target: newTarget(config.ReportInterval), gate: gate.New(time.Now()),
		joined: make(chan struct{}), lines: nodelog.NewLimiter(linesPerSecond),
		running: newRunning(), peers: peerlink.NewPool(), budgets: newBudgets(config.Budget),
	}
	n.client = httpconn.NewTarget(httpconn.TargetConfig{Names: config.Headers, Address: config.TargetAddress})
	n.directory = directory.New(routing.Options{
		Node: n.id.String(), DomainFactor: domainFactor, FullUtilization: fullUtilization, SaturatedFactor: saturatedFactor, MaxLatencyFactor: maxLatencyFactor,
	}, config.FailureDomain, rand.New(rand.NewPCG(seed, 1)))
	n.chains.rng = rand.New(rand.NewPCG(seed, 2))
	n.chains.table = chainadmission.NewTable()
	n.service.Store(&config.Service)
	n.grace.Store(int64(config.Grace))
	n.callers = &httpconn.Server{
		Names: config.Headers, Handle: n.serve, Limits: n.limits, DefaultTimeout: defaultTimeout, ParentOf: config.ParentOf,
		Malformed: func(remote string, err error) {
			n.metrics.malformed.Inc()
			n.log.Warn("request rejected as malformed", "remote", remote, "error", err)
		},
	}
	n.peerServer = &peerlink.Server{Handle: n.servePeer, Config: n.configuration.encode}
	n.metrics = newNodeMetrics(n)
	return n
}

// Start opens the listeners and joins the other nodes. The error has kind
// settings-invalid when an address cannot be used.
func (n *Node) Start() error {
	callers, err := net.Listen("tcp", n.config.CallerAddress)
	if err != nil {
		return kind.Newf(kind.SettingsInvalid, "caller address %q: %v", n.config.CallerAddress, err)
	}
	peers, err := net.Listen("tcp", n.config.PeerAddress)
	if err != nil {
		_ = callers.Close()
		return kind.Newf(kind.SettingsInvalid, "peer address %q: %v", n.config.PeerAddress, err)
	}
	if err := n.join(); err != nil {
		_ = callers.Close()
		_ = peers.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.callers.Serve(callers)
	go n.peerServer.Serve(peers)
	go n.tick(ctx)
	if n.config.Records != nil {
		go n.recover(ctx)
	}
	n.log.Info("node started", "instance", n.config.Name, "node_id", n.id.String(), "service", n.config.Service,
		"failure_domain", n.config.FailureDomain, "region", n.config.Region)
	return nil
}

// join starts the gossip.
func (n *Node) join() error {
	listen, err := netip.ParseAddrPort(n.config.GossipAddress)
	if err != nil {
		return kind.Newf(kind.SettingsInvalid, "gossip address %q: %v", n.config.GossipAddress, err)
	}
	var seeds []netip.AddrPort
	for _, s := range n.config.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			seeds = append(seeds, a)
		}
	}
	n.gossip, err = gossip.Start(gossip.Config{
		Listen: listen, Delegate: &delegate{n}, Logger: n.log.Named("gossip"),
		Membership: membership.Config{ID: n.id, Meta: n.meta(), Seeds: seeds},
	})
	close(n.joined)
	return err
}

// limits returns what callers may send.
func (n *Node) limits() routetable.Limits {
	if t := n.configuration.current(); t != nil {
		return t.Config().Limits
	}
	return routetable.Limits{}
}

// Ready reports whether clients should send work to this node.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.configuration.current() != nil
}

// tick runs periodic work until ctx ends.
func (n *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.checkPeers(now)
			n.client.Trim(now)
			n.refreshTarget(now)
			n.shareCutoff(now)
			n.logLoad(now)
			n.logBudgets(now)
			n.logSuppressed(now)
		}
	}
}

// meta returns what the members are told of this node and its target.
func (n *Node) meta() membership.Meta {
	r := n.target.current(time.Now())
	peer, err := netip.ParseAddrPort(n.config.PeerAddress)
	if err != nil {
		peer = netip.AddrPort{}
	}
	return membership.Meta{
		Service: *n.service.Load(), PeerAddr: peer, FailureDomain: n.config.FailureDomain, Region: n.config.Region,
		TargetState: n.targetState(r), Slots: uint32(max(r.Slots, 0)),
	}
}

// selfID returns the ID under which routing knows this node.
func (n *Node) selfID() routing.TargetID { return routing.TargetID(n.id.String()) }
