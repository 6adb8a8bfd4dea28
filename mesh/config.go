package mesh

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestsail/goldcrestsail/httpconn"
)

// Config holds the settings of a Node.
type Config struct {
	// Name is the name of the instance in logs and in Records.
	Name                  string
	FailureDomain, Region string
	// Service is the service of the local target, TargetAddress the address on
	// which it accepts requests.
	Service, TargetAddress string
	// CallerAddress accepts requests of clients and of the local target.
	CallerAddress string
	// PeerAddress accepts calls of other nodes, GossipAddress membership
	// datagrams.
	PeerAddress, GossipAddress string
	// Headers are the names of the header fields that are exchanged with
	// callers and targets.
	Headers httpconn.HeaderNames
	// ParentOf returns the ID of the parent request of the sub-call with the
	// given ID, or "" if it cannot be derived from the ID. It may be nil.
	ParentOf func(id string) string
	// ReportInterval is the expected interval between reports of a target.
	ReportInterval time.Duration
	// GracePeriod is the time from the termination signal to the end of the
	// process.
	GracePeriod time.Duration
	// Budget bounds the retries of all nodes together.
	Budget RetryBudgetConfig
	// BodyMemoryBytes bounds the bodies of all requests and responses that the
	// process holds; 0 selects defaultBodyMemoryBytes.
	BodyMemoryBytes int64
	// Seeds are gossip addresses to join through, in addition to those in
	// Records.
	Seeds []string
	// Records is storage that survives the process. Without it, the node sends
	// no work to its target.
	Records Records
	Logger  hclog.Logger
	// Seed seeds the random number generators; 0 selects a random seed.
	Seed uint64
}
