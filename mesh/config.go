package mesh

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/httpconn"
)

// Config is what a Node needs to know when it starts.
type Config struct {
	// Name identifies the instance in logs.
	Name                  string
	FailureDomain, Region string
	// Service is the service of the target beside the node, TargetAddress where
	// it accepts requests.
	Service, TargetAddress string
	// CallerAddress takes requests of clients and of the target.
	CallerAddress string
	// PeerAddress takes calls of other nodes, GossipAddress is for membership.
	PeerAddress, GossipAddress string
	// Headers are the names of the header fields that callers and targets use.
	Headers httpconn.HeaderNames
	// ParentOf returns the ID of the request that a sub-call with the given ID
	// belongs to, or "" if the ID does not tell; it may be nil.
	ParentOf func(id string) string
	// ReportInterval is the time between two reports of a target.
	ReportInterval time.Duration
	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration
	// Budget bounds the repeated requests of all nodes together.
	Budget BudgetConfig
	// Seeds are gossip addresses to join through, besides those of Records.
	Seeds []string
	// Records outlast the process. Without them, the node sends no work to its
	// target.
	Records Records
	Logger  hclog.Logger
	// Seed makes random choices repeatable; 0 takes a random one.
	Seed uint64
}
