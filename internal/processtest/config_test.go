package processtest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
)

// configDump is the part of "dump --section config" that all nodes must agree
// on.
type configDump struct {
	Offset   uint64
	Policies any
	Results  any
}

func parseConfig(text string) (configDump, error) {
	var d struct{ Config configDump }
	err := json.Unmarshal([]byte(text), &d)
	return d.Config, err
}

// waitAgreement waits until all nodes have the same configuration with at
// least the given offset, and returns it.
func (c *cluster) waitAgreement(t *testing.T, offset uint64) configDump {
	t.Helper()
	var first configDump
	waitFor(t, fmt.Sprintf("all nodes to agree at offset %d or later", offset), func() bool {
		texts := map[string]bool{}
		for _, m := range c.entryNodes() {
			d, err := parseConfig(c.dump(t, m, "config"))
			require.NoError(t, err)
			text, err := json.Marshal(d)
			require.NoError(t, err)
			texts[string(text)] = true
			first = d
		}
		return len(texts) == 1 && first.Offset >= offset
	})
	return first
}

// watchOffsets records every node whose configuration offset decreases, until the
// test ends.
func (c *cluster) watchOffsets(t *testing.T) (reverted func() []string) {
	var mu sync.Mutex
	var faults []string
	highest, stop := map[string]uint64{}, make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, m := range c.entryNodes() {
				d, err := parseConfig(c.get(m, "/dump?section=config"))
				if err != nil {
					continue
				}
				mu.Lock()
				if d.Offset < highest[m.id] {
					faults = append(faults, fmt.Sprintf("%s went from offset %d to %d", m.node.name, highest[m.id], d.Offset))
				}
				highest[m.id] = max(highest[m.id], d.Offset)
				mu.Unlock()
			}
		}
	})
	t.Cleanup(func() { close(stop); done.Wait() })
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return faults
	}
}

// Guards against nodes that diverge in or revert their configuration when
// operators publish concurrently, responses are lost, or the log service is down
// while nodes are replaced.
func TestNodesAgreeOnConfiguration(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "front", "front", "back")
	c.publishBoth(t)
	reverted := c.watchOffsets(t)
	base := 1
	t.Run("two publishers with the same base", func(t *testing.T) {
		for range 5 {
			type outcome struct {
				code         int
				stdout, errs string
			}
			outcomes := make([]outcome, 2)
			files := []string{
				c.policyFile(t, fmt.Sprintf("old-%d", base), "front", 1, base, slots-1),
				c.policyFile(t, fmt.Sprintf("new-%d", base), "front", 2, base, slots-2),
			}
			var both sync.WaitGroup
			for i := range files {
				both.Go(func() {
					o := &outcomes[i]
					o.code, o.stdout, o.errs = runCommand(t, "config", "publish", files[i], "--log", c.logURL())
				})
			}
			both.Wait()
			winner, loser := outcomes[0], outcomes[1]
			if loser.code == 0 {
				winner, loser = loser, winner
			}
			base++
			require.Zero(t, winner.code, winner.errs)
			require.Contains(t, winner.stdout, fmt.Sprintf("accepted: front.acme is at revision %d", base))
			require.Equal(t, 1, loser.code, loser.stdout)
			require.Contains(t, loser.errs, "stale-base")
			require.Contains(t, loser.errs, fmt.Sprintf("current is revision %d", base))
			c.waitAgreement(t, c.counters(t, configlog.Stream).Records)
		}
	})
	t.Run("publish response lost", func(t *testing.T) {
		c.setFaults(t, logstore.Faults{LoseResponses: 1})
		lost := c.counters(t, configlog.Stream).ResponsesLost
		code, out, errs := c.publish(t, c.policyFile(t, "lost", "front", 2, base, slots))
		require.Zero(t, code, errs)
		require.Equal(t, lost+1, c.counters(t, configlog.Stream).ResponsesLost, "the publish response was not lost")
		base++
		require.Contains(t, out, fmt.Sprintf("revision %d ", base))
		// Publishing the same file again has no further effect.
		code, out, errs = c.publish(t, c.policyFile(t, "lost", "front", 2, base-1, slots))
		require.Zero(t, code, errs)
		require.Contains(t, out, fmt.Sprintf("revision %d ", base))
		c.waitAgreement(t, c.counters(t, configlog.Stream).Records)
	})
	t.Run("nodes replaced during an outage", func(t *testing.T) {
		before := c.waitAgreement(t, 0)
		c.setFaults(t, logstore.Faults{Outage: true})
		started := c.startNode(c.t, "front")
		require.Equal(t, before, c.waitAgreement(t, before.Offset), "%s starts during the outage", started.node.name)
		c.startTarget(c.t, started)

		members := c.entryNodes()
		for _, m := range members[1:] {
			c.remove(m)
			m.node.kill()
			m.killTarget()
		}
		for _, service := range []string{"front", "back"} {
			c.startTarget(c.t, c.startNode(c.t, service))
		}
		require.Equal(t, before, c.waitAgreement(t, before.Offset), "configuration after the replacement")
		// Reads are served while the log service is still down.
		c.waitServing(t)

		c.setFaults(t, logstore.Faults{})
		code, out, errs := c.publish(t, c.policyFile(t, "after", "front", 2, base, slots))
		require.Zero(t, code, errs)
		base++
		require.True(t, strings.Contains(out, fmt.Sprintf("revision %d ", base)), out)
		c.waitAgreement(t, before.Offset+1)
	})
	t.Run("log service restarted without its records", func(t *testing.T) {
		before := c.waitAgreement(t, 0)
		c.log.kill()
		require.NoError(t, os.Remove(filepath.Join(c.dir, "records")))
		c.startLog(t)
		c.startNode(t, "front")
		waitFor(t, "a node to read the empty stream", func() bool { return c.counters(t, configlog.Stream).Reads > 0 })
		require.Equal(t, before, c.waitAgreement(t, before.Offset))
	})
	require.Empty(t, reverted())
}
