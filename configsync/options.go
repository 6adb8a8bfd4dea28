package configsync

import (
	"math/rand/v2"
	"time"

	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/hashicorp/go-hclog"
)

// Options configures a Runner. Client and Rand are required.
type Options struct {
	Client logservice.Client
	// Rand is used only by the Runner.
	Rand *rand.Rand
	// Logger is hclog's null logger by default.
	Logger hclog.Logger
	// Now is the clock for the age of snapshots, by default time.Now. It is
	// compared with the time of the log service; a difference of minutes only
	// shifts when snapshots are written.
	Now func() time.Time
	// Retention is how long the log service keeps records, by default
	// DefaultRetention.
	Retention time.Duration
	// Rank returns the node's position, from 0, in the rendezvous order of the
	// nodes that may write snapshots. By default it is always 0.
	Rank func() int
	// Following is the initial state of the switch that SetFollowing changes.
	Following bool
}

// DefaultRetention is the retention that the platform documents.
const DefaultRetention = 24 * time.Hour

const (
	// batchRecords bounds the records of one read. With records of a few
	// hundred bytes a read stays below half a megabyte.
	batchRecords = 512
	// longPoll is how long a follower's read waits for records.
	longPoll = 25 * time.Second
	// pollInterval is the mean time between the reads of a node that does not
	// follow the log: 1,400 nodes then send 23 reads per second.
	pollInterval = time.Minute
	// startJitter spreads the first reads of nodes that do not follow, and
	// leaves time to adopt the state of a peer first.
	startJitter = 2 * time.Second
	// emptyPause bounds the read rate if the log service does not wait.
	emptyPause = 100 * time.Millisecond
	// The back-off after a failed read doubles from initialBackoff to a maximum
	// that is lower for followers. About 50 followers that retry every 5 s do
	// not slow the recovery of the log service.
	initialBackoff     = 200 * time.Millisecond
	maxFollowerBackoff = 5 * time.Second
	maxPollingBackoff  = 30 * time.Second
	// rankDelay is longer than a long poll, so that a snapshot written by one
	// rank is seen by the next before its turn.
	rankDelay = 30 * time.Second
)

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.Rank == nil {
		o.Rank = func() int { return 0 }
	}
}

// The intervals shrink with a short retention, as in tests and demos, so that
// a snapshot is still written in time.
func (o *Options) rankDelay() time.Duration    { return min(rankDelay, o.Retention/64) }
func (o *Options) longPoll() time.Duration     { return min(longPoll, o.Retention/64) }
func (o *Options) pollInterval() time.Duration { return min(pollInterval, o.Retention/16) }
