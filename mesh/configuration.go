package mesh

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// configuration holds the newest routes. It never steps back.
type configuration struct {
	mu       sync.RWMutex
	table    *routetable.Table
	splitter *routetable.Splitter
	encoded  []byte
	since    time.Time
}

func newConfiguration() *configuration {
	return &configuration{splitter: routetable.NewSplitter()}
}

// current returns the table in force, nil before the first configuration.
func (c *configuration) current() *routetable.Table {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.table
}

// age returns how long the configuration has been in force, 0 without one.
func (c *configuration) age(now time.Time) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.table == nil {
		return 0
	}
	return now.Sub(c.since)
}

// version returns the version in force, 0 for none.
func (c *configuration) version() uint64 {
	if t := c.current(); t != nil {
		return t.Config().Version
	}
	return 0
}

// apply puts a configuration in force unless it is not newer. It reports
// whether it did.
func (c *configuration) apply(next *routetable.Config) (bool, *kind.Error) {
	if faults := next.Validate(); len(faults) > 0 {
		return false, &kind.Error{Kind: kind.ConfigRejected, Run: kind.NotRun, Detail: "configuration not applied", Fields: faults}
	}
	encoded, err := json.Marshal(next)
	if err != nil {
		return false, kind.Of(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && next.Version <= c.table.Config().Version {
		return false, nil
	}
	c.table, c.encoded, c.since = routetable.New(next), encoded, time.Now()
	c.splitter.Reset()
	return true, nil
}

// next returns the service for the next request of a route.
func (c *configuration) next(r *routetable.Route) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.splitter.Next(r)
}

// encode returns the configuration in force for a peer.
func (c *configuration) encode() []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.encoded
}

// decodeConfig reads what encode returned at a peer.
func decodeConfig(b []byte) (*routetable.Config, error) {
	var c routetable.Config
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, err
	}
	return &c, nil
}
