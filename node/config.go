// Package node is the daemon beside a target instance: it accepts calls,
// forwards them to the node of a target, admits calls for its own target, and
// keeps membership and configuration up to date.
package node

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/configsync"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// Config configures a Node. The zero value of a field with a default takes
// the default.
type Config struct {
	// Listen addresses as IP:PORT; port 0 picks a free one.
	CallerAddress     string
	TargetSideAddress string
	PeerAddress       string
	GossipAddress     string
	AdminAddress      string

	// AdvertisePeer replaces the peer address in what other nodes are told;
	// empty advertises the listen address.
	AdvertisePeer string

	Region        string
	FailureDomain string
	// Seeds are gossip addresses of a few other nodes.
	Seeds []string
	// Log is the log service; nil runs without one.
	Log logservice.Client
	// LogRetention is how long the log service keeps records; default
	// configsync.DefaultRetention.
	LogRetention time.Duration
	// Announcement announces a target from the settings, for a target that
	// does not announce itself.
	Announcement *Announcement
	// Logger receives structured logs; nil discards them.
	Logger hclog.Logger
	// Seed fixes the random choices of the node; 0 takes a random one.
	Seed uint64
}

// Defaults and bounds of a node.
const (
	defaultLogRetention = configsync.DefaultRetention
	// defaultTimeout applies when neither the caller nor the class sets one.
	defaultTimeout = 5 * time.Second
	// announcementLifetime is how long a target counts as present after its
	// last announcement; announcements come every 500 ms to 1 s.
	announcementLifetime = 5 * time.Second
	// protectedImportances is the number of importances, from the most important
	// on, that are never refused early on the level of a class of their own
	// importance: a stale level would refuse payouts, orders and quotes while
	// less important requests are served.
	protectedImportances = 2
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// maxConcurrentStreams bounds the calls in flight on a peer connection. It
	// is far above the slots of a target, so that the queue and not the
	// transport decides.
	maxConcurrentStreams = 10_000
	// pingAfter and pingTimeout find a silent connection within 1.5 s. With a
	// shorter timeout, live connections on an overloaded machine count as silent.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = time.Second
	// dialTimeout is far above the 1 ms that a new connection takes.
	dialTimeout = 500 * time.Millisecond
	// idleConnectionTimeout closes connections to peers that are no longer called.
	idleConnectionTimeout = 60 * time.Second
)

func (c *Config) applyDefaults() {
	if c.LogRetention == 0 {
		c.LogRetention = defaultLogRetention
	}
	if c.Log == nil {
		c.Log = noLog{}
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
}
