package mesh

import (
	"cmp"
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
	"github.com/goldcrestsail/goldcrestsail/configreaders"
	"github.com/goldcrestsail/goldcrestsail/crashguard"
	"github.com/goldcrestsail/goldcrestsail/directory"
	"github.com/goldcrestsail/goldcrestsail/gate"
	"github.com/goldcrestsail/goldcrestsail/gossip"
	"github.com/goldcrestsail/goldcrestsail/httpconn"
	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/nodelog"
	"github.com/goldcrestsail/goldcrestsail/peerlink"
	"github.com/goldcrestsail/goldcrestsail/routetable"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

const (
	// domainFactor, fullUtilization and saturatedFactor keep calls in the
	// failure domain, since traffic between domains is expensive: a target of
	// the same domain is preferred while it has a free slot and is at most 3
	// times as slow, and, when all targets are full, while its load is at most
	// 1.7 times as high.
	domainFactor    = 3.0
	fullUtilization = 1.0
	saturatedFactor = 1.7
	// maxLatencyFactor is high enough for a target that is twelve times as slow
	// to lose its work.
	maxLatencyFactor = 16.0
	// assumeReadyAfter is about the time in which a target reports to the node beside
	// it after its start.
	assumeReadyAfter = time.Second
	// loadLogInterval is the least interval between log lines about an
	// overloaded target, and between those about an insufficient retry budget.
	loadLogInterval = 500 * time.Millisecond
	// defaultTimeout applies to requests without a deadline.
	defaultTimeout = 30 * time.Second
	// defaultBodyMemoryBytes suits instances of 128 MB or more.
	defaultBodyMemoryBytes = 16 << 20
	// tickInterval is the interval of the periodic tasks.
	tickInterval = peerlink.CheckInterval
)

// Node is the proxy process next to one target. It is safe for concurrent use.
type Node struct {
	config  Config
	id      uuid.UUID
	log     hclog.Logger
	metrics *nodeMetrics
	// startedAt is when the node was created.
	startedAt time.Time

	configuration *configuration
	target        *target
	client        *httpconn.Target
	gate          *gate.Gate
	inFlight      *inFlight
	ends          targetEnds
	crashes       *crashguard.Guard
	lostPeers     lostPeers
	crashReports  crashReports
	notice        targetNotice
	peerNotices   peerNotices
	directory     *directory.Directory
	peers         *peerlink.Pool
	budgets       *budgets
	splits        *splitCounts
	// bodyMemory bounds the bodies that the process holds.
	bodyMemory *bytebudget.Budget
	chains     struct {
		mu    sync.Mutex
		rng   *rand.Rand
		table *chainadmission.Table
	}

	callers    *httpconn.Server
	peerServer *peerlink.Server
	// listeners are those of both servers.
	listeners []net.Listener
	// gossip is set before gossipStarted is closed.
	gossip        *gossip.Transport
	gossipStarted chan struct{}

	draining atomic.Bool
	// targetClosed reports that the target gets no more work.
	targetClosed atomic.Bool
	// drainTimes is nil until the node drains.
	drainTimes atomic.Pointer[drainTimes]
	// graceOver is canceled shortly before a draining node ends, when requests that are
	// still in progress have to be answered.
	graceOver    context.Context
	endGraceOver context.CancelFunc
	// grace holds the grace period as a time.Duration.
	grace atomic.Int64
	// inProgress counts requests in progress, of callers and of peers.
	inProgress atomic.Int64
	// executing counts the calls that run at the local target or may still be sent
	// to it.
	executing atomic.Int64
	cancel    context.CancelFunc
	// lineLimiter limits the log lines about requests. answeredCount counts
	// answered requests.
	lineLimiter        *nodelog.Limiter
	answeredCount      atomic.Uint64
	suppressedLoggedAt time.Time
	// loadLoggedAt is when the load of the target was last logged,
	// budgetsLoggedAt the same for the retry budgets.
	loadLoggedAt, budgetsLoggedAt time.Time
	// suspectedPeers holds the addresses of the peers that do not answer
	// probes. Only the goroutine of runPeriodicTasks accesses it.
	suspectedPeers map[string]bool
	// follower decides where the configuration comes from. Only the goroutine that
	// reads the store accesses it. readsStore reports that this node reads the store.
	follower   *configreaders.Follower
	readsStore atomic.Bool
	// storeReachable reports that the last call to the store succeeded.
	storeReachable atomic.Bool
	// timeline is the newest timeline of the store that is known, record the state of
	// the node's record there.
	timeline *storeTimeline
	record   *recordWriter
	// storeCalled reports that at least one call to the store has completed.
	storeCalled atomic.Bool
	// fetchingConfig is true while a configuration is fetched from a peer.
	fetchingConfig atomic.Bool
}

// New returns a node that has not been started.
func New(config Config) *Node {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	bodyMemory := bytebudget.New(cmp.Or(config.BodyMemoryBytes, defaultBodyMemoryBytes))
	n := &Node{
		config: config, id: uuid.New(), log: config.Logger, startedAt: time.Now(),
		configuration: newConfiguration(rand.New(rand.NewPCG(seed, 4))), target: newTarget(config.Service, config.ReportInterval, config.Records != nil), gate: gate.New(time.Now()),
		gossipStarted: make(chan struct{}), lineLimiter: nodelog.NewLimiter(requestLinesPerSecond),
		bodyMemory: bodyMemory, inFlight: newInFlight(), peers: peerlink.NewPool(bodyMemory), budgets: newBudgets(config.Budget),
		splits: newSplitCounts(),
	}
	n.client = httpconn.NewTarget(httpconn.TargetConfig{Names: config.Headers, Address: config.TargetAddress, BodyMemory: bodyMemory})
	n.directory = directory.New(routing.Options{
		Node: n.id.String(), DomainFactor: domainFactor, FullUtilization: fullUtilization, SaturatedFactor: saturatedFactor, MaxLatencyFactor: maxLatencyFactor,
		AssumeReadyAfter: assumeReadyAfter,
	}, config.FailureDomain, rand.New(rand.NewPCG(seed, 1)))
	n.follower = configreaders.NewFollower(configreaders.Peer{ID: n.id.String()})
	n.timeline = newStoreTimeline()
	n.record = newRecordWriter(rand.New(rand.NewPCG(seed, 3)))
	n.chains.rng = rand.New(rand.NewPCG(seed, 2))
	n.answeredCount.Store(n.chains.rng.Uint64N(answeredSampleInterval))
	n.chains.table = chainadmission.NewTable()
	n.crashes = newCrashGuard(n)
	n.grace.Store(int64(config.GracePeriod))
	n.graceOver, n.endGraceOver = context.WithCancel(context.Background())
	n.callers = &httpconn.Server{
		Names: config.Headers, Handle: n.serveRequest, Limits: n.requestLimits, DefaultTimeout: defaultTimeout, ParentOf: config.ParentOf, BodyMemory: bodyMemory,
		OnMalformed: func(remote string, err error) {
			n.metrics.malformed.Inc()
			n.log.Warn("request rejected as malformed", "remote", remote, "error", err)
		},
	}
	n.peerServer = &peerlink.Server{Handle: n.servePeer, Config: n.configuration.encodedConfig, BodyMemory: bodyMemory, WatchConfig: n.serveFollower, Departures: n.encodedDeparturesOf}
	n.metrics = newNodeMetrics(n)
	return n
}

// Start opens the listeners and joins the cluster. The error has kind
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
	if err := n.startGossip(); err != nil {
		_ = callers.Close()
		_ = peers.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.listeners = []net.Listener{callers, peers}
	go n.callers.Serve(callers)
	go n.peerServer.Serve(peers)
	go n.runPeriodicTasks(ctx)
	if n.config.Records != nil {
		go n.recoverRecords(ctx)
	}
	n.log.Info("node started", "instance", n.config.Name, "node_id", n.id.String(), "service", n.config.Service,
		"failure_domain", n.config.FailureDomain, "region", n.config.Region)
	return nil
}

// startGossip starts the gossip transport.
func (n *Node) startGossip() error {
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
		Listen: listen, Delegate: &gossipDelegate{n}, Logger: n.log.Named("gossip"),
		Membership: membership.Config{ID: n.id, Meta: n.memberMeta(), Seeds: seeds},
	})
	close(n.gossipStarted)
	return err
}

// requestLimits returns the limits on requests of callers.
func (n *Node) requestLimits() routetable.Limits {
	if t := n.configuration.current(); t != nil {
		return t.Config().Limits
	}
	return routetable.Limits{}
}

// Ready reports whether clients should send requests to this node.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.configuration.current() != nil
}

// runPeriodicTasks runs the periodic tasks until ctx is canceled.
func (n *Node) runPeriodicTasks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	fetchTicker := time.NewTicker(configFetchInterval)
	defer fetchTicker.Stop()
	crashTicker := time.NewTicker(crashTickInterval)
	defer crashTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-fetchTicker.C:
			n.fetchAnnouncedConfig()
		case now := <-crashTicker.C:
			n.crashes.Tick()
			n.reportLostPeers(now)
		case now := <-ticker.C:
			n.checkPeers(now)
			n.client.PruneIdle(now)
			n.confirmTarget(now)
			n.applyTargetState(now)
			n.updateAppliedCutoff(now)
			n.logLoad(now)
			n.logRetryBudgets(now)
			n.logSplits(now)
			n.logSuppressed(now)
		}
	}
}

// memberMeta returns what is announced to the members about this node and its
// target.
func (n *Node) memberMeta() membership.Meta {
	r := n.target.report(time.Now())
	peer, err := netip.ParseAddrPort(n.config.PeerAddress)
	if err != nil {
		peer = netip.AddrPort{}
	}
	return membership.Meta{
		Service: n.target.service(), PeerAddr: peer, FailureDomain: n.config.FailureDomain, Region: n.config.Region,
		TargetState: n.targetState(r), Slots: uint32(max(r.Slots, 0)),
	}
}

// selfID returns the ID of this node in the target selection.
func (n *Node) selfID() routing.TargetID { return routing.TargetID(n.id.String()) }
