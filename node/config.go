// Package node implements the sidecar daemon of a target instance. It accepts
// calls, forwards them to the node of a target, admits calls to its local
// target, and keeps membership and configuration up to date.
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

	// AdvertisePeer is the peer address advertised to other nodes; empty
	// advertises the listen address.
	AdvertisePeer string

	Region        string
	FailureDomain string
	// Seeds are gossip addresses of a few other nodes.
	Seeds []string
	// Log is the client of the log service; nil runs without one.
	Log logservice.Client
	// LogRetention is how long the log service keeps records; default
	// configsync.DefaultRetention.
	LogRetention time.Duration
	// Announcement registers a target statically, for a target that does not
	// announce itself.
	Announcement *Announcement
	// Logger receives structured logs; nil discards them.
	Logger hclog.Logger
	// Seed seeds the random number generators of the node; 0 picks a random
	// seed.
	Seed uint64
}

// Defaults and limits of a node.
const (
	defaultLogRetention = configsync.DefaultRetention
	// defaultTimeout applies when neither the caller nor the class sets one.
	defaultTimeout = 5 * time.Second
	// announcementLifetime is how long a target counts as present after its
	// last announcement; announcements come every 500 ms to 1 s.
	announcementLifetime = 5 * time.Second
	// protectedImportances is the number of importances, starting with the most
	// important, that are never shed early because of the admission level of a
	// class of their own importance: a stale level would refuse payouts, orders
	// and quotes while less important requests are served.
	protectedImportances = 2
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// maxConcurrentStreams limits the calls in flight on a peer connection. It
	// is far above the slots of a target, so that concurrency is limited by the
	// admission queue and not by the transport.
	maxConcurrentStreams = 10_000
	// pingInterval and pingTimeout detect an unresponsive connection within
	// 1.5 s. A shorter timeout gives false detections on an overloaded machine.
	pingInterval = 500 * time.Millisecond
	pingTimeout  = time.Second
	// dialTimeout is far above the 1 ms that opening a connection takes.
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
