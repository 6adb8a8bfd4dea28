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
	// Now is the clock that the age of snapshots is measured by, by default
	// time.Now. The log service sets the time of a snapshot by its own clock; a
	// clock skew of minutes only shifts when snapshots are written.
	Now func() time.Time
	// Retention is how long the log service retains records, by default
	// DefaultRetention.
	Retention time.Duration
	// Rank returns the node's position, from 0, in the rendezvous order of the
	// nodes that may write snapshots. By default it is always 0.
	Rank func() int
	// Following is whether the node starts as a follower; see SetFollowing.
	Following bool
}

// DefaultRetention is the retention that the platform documents for the log
// service.
const DefaultRetention = 24 * time.Hour

const (
	// batchRecords limits the number of records of one read. With records of a few
	// hundred bytes a response stays below half a megabyte.
	batchRecords = 512
	// longPollTimeout is how long a follower's read waits for records.
	longPollTimeout = 25 * time.Second
	// pollInterval is the mean time between the reads of a node that does not
	// follow the log: 1,400 nodes then send 23 reads per second.
	pollInterval = time.Minute
	// maxStartDelay limits the random delay of the first read of a node that does
	// not follow the log. The delay spreads the reads of nodes that start
	// together and leaves time to adopt the state of a peer first.
	maxStartDelay = 2 * time.Second
	// emptyReadDelay is the mean pause of a follower after a read without
	// records. It limits the read rate if the log service responds at once.
	emptyReadDelay = 100 * time.Millisecond
	// The back-off after a failed read doubles from initialBackoff to a maximum
	// that is lower for followers. About 50 followers that retry every 5 s do
	// not delay the recovery of the log service.
	initialBackoff     = 200 * time.Millisecond
	maxFollowerBackoff = 5 * time.Second
	maxPollingBackoff  = 30 * time.Second
	// rankDelay is how much later each rank writes a snapshot than the rank
	// before it. It is longer than a long poll, so that a node has read the
	// snapshot of a lower rank before it would write its own.
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

// With a short retention, as in tests and demos, the intervals are shorter, so
// that a snapshot is still written before the records expire.
func (o *Options) rankDelay() time.Duration       { return min(rankDelay, o.Retention/64) }
func (o *Options) longPollTimeout() time.Duration { return min(longPollTimeout, o.Retention/64) }
func (o *Options) pollInterval() time.Duration    { return min(pollInterval, o.Retention/16) }
