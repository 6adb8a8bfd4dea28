package mesh

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// configuration holds the newest routes. The version never decreases.
type configuration struct {
	mu        sync.RWMutex
	table     *routetable.Table
	splitter  *routetable.Splitter
	encoded   []byte
	appliedAt time.Time
	// changed is closed, and replaced, when a configuration is applied.
	changed chan struct{}
}

// newConfiguration returns a configuration without routes. rng is for the splits.
func newConfiguration(rng *rand.Rand) *configuration {
	return &configuration{splitter: routetable.NewSplitter(rng), changed: make(chan struct{})}
}

// current returns the current route table, or nil before the first
// configuration.
func (c *configuration) current() *routetable.Table {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.table
}

// age returns the time since the current configuration was applied, or 0 if
// there is none.
func (c *configuration) age(now time.Time) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.table == nil {
		return 0
	}
	return now.Sub(c.appliedAt)
}

// version returns the version of the current configuration, or 0 if there is
// none.
func (c *configuration) version() uint64 {
	if t := c.current(); t != nil {
		return t.Config().Version
	}
	return 0
}

// apply validates a configuration and makes it the current one if its version
// is newer. It reports whether it did.
func (c *configuration) apply(config *routetable.Config) (bool, *kind.Error) {
	if faults := config.Validate(); len(faults) > 0 {
		return false, &kind.Error{Kind: kind.ConfigRejected, Run: kind.NotRun, Detail: "configuration not applied", Fields: faults}
	}
	encoded, err := json.Marshal(config)
	if err != nil {
		return false, kind.Of(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && config.Version <= c.table.Config().Version {
		return false, nil
	}
	c.table, c.encoded, c.appliedAt = routetable.New(config), encoded, time.Now()
	c.splitter.Retain(config)
	close(c.changed)
	c.changed = make(chan struct{})
	return true, nil
}

// nextService returns the service for the next request of a route.
func (c *configuration) nextService(r *routetable.Route) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.splitter.Next(r)
}

// encodedConfig returns the current configuration as JSON, to be sent to a
// peer.
func (c *configuration) encodedConfig() []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.encoded
}

// newerThan returns the encoded configuration if it is newer than a version. If it
// is not, it returns a channel that is closed at the next change.
func (c *configuration) newerThan(version uint64) ([]byte, <-chan struct{}) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.table != nil && c.table.Config().Version > version {
		return c.encoded, nil
	}
	return nil, c.changed
}

// decodeConfig decodes a configuration received from a peer.
func decodeConfig(b []byte) (*routetable.Config, error) {
	var c routetable.Config
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, err
	}
	return &c, nil
}
