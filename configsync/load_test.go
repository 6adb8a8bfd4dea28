package configsync

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// countingClient counts the reads and appends that reach the log service.
type countingClient struct {
	*logstore.Store
	reads, appends atomic.Int64
}

func (c *countingClient) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (logservice.Batch, error) {
	c.reads.Add(1)
	return c.Store.Read(ctx, stream, from, maxRecords, wait)
}

func (c *countingClient) Append(ctx context.Context, stream string, data ...[]byte) (uint64, error) {
	c.appends.Add(1)
	return c.Store.Append(ctx, stream, data...)
}

// startNodes starts the given number of nodes. The first ones, as many as
// followers, follow the log.
func (f *fixture) startNodes(client logservice.Client, nodes, followers int) {
	for i := range nodes {
		f.seed++
		r := New(Options{Client: client, Rand: rand.New(rand.NewPCG(1, f.seed)), Following: i < followers, Rank: func() int { return i }})
		go func() { _ = r.Run(f.ctx) }()
	}
}

// Guards against reads of 1,400 nodes that overload the log service, in normal
// operation and while it is slow or down. docs/CAPACITY.md quotes the rates.
func TestLogReadRateOf1400Nodes(t *testing.T) {
	const nodes, followers, window = 1400, 33, 5 * time.Minute
	runWithFakeClock(t, DefaultRetention, func(f *fixture) {
		client := &countingClient{Store: f.store}
		f.startNodes(client, nodes, followers)
		f.publish(0)
		time.Sleep(3 * time.Minute)
		requireRateBelow := func(state string, limit float64) {
			before := client.reads.Load()
			time.Sleep(window)
			got := float64(client.reads.Load()-before) / window.Seconds()
			t.Logf("%s: %.1f reads per second", state, got)
			require.Less(t, got, limit, state)
		}
		requireRateBelow("up", 30)
		f.store.SetDelay(2 * time.Second)
		requireRateBelow("slow", 30)
		f.store.SetDelay(0)
		f.store.SetOutage(true)
		// The back-off of each node doubles from 200 ms, so the read rate is
		// highest in the first minutes of an outage.
		requireRateBelow("down, first minutes", 90)
		requireRateBelow("down", 70)
		f.store.SetOutage(false)
		requireRateBelow("up again", 30)
	})
}

// Guards against several nodes that each write a snapshot when one is due, once
// per quarter of the retention.
func TestSnapshotsPerDay(t *testing.T) {
	runWithFakeClock(t, DefaultRetention, func(f *fixture) {
		client := &countingClient{Store: f.store}
		f.startNodes(client, 100, 33)
		f.publish(0)
		time.Sleep(24 * time.Hour)
		appends := client.appends.Load()
		t.Logf("snapshots appended in a day: %d", appends)
		require.GreaterOrEqual(t, appends, int64(4))
		require.LessOrEqual(t, appends, int64(8))
	})
}
