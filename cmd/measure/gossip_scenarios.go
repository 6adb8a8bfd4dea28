package main

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/memnet/cluster"
)

// Scenarios at the design size: a failure domain holds 130 nodes and the region
// cut off 280.
const (
	domainNodes = 130
	regionNodes = 280
	regionCut   = 5 * time.Minute
)

// scenarioRow is the result of one scenario.
type scenarioRow struct {
	name, loss              string
	most, all               time.Duration
	meanBytes, worstBytes   float64
	falseDeaths, suspicions int
}

func printScenarios(out io.Writer, members int, seed uint64, losses []float64) {
	if members < 2*regionNodes {
		return
	}
	results := make([][]scenarioRow, 2*len(losses))
	var wg sync.WaitGroup
	for i, loss := range losses {
		wg.Go(func() { results[i] = domainScenario(members, seed, loss) })
	}
	wg.Wait()
	for i, loss := range losses {
		wg.Go(func() { results[len(losses)+i] = regionScenario(members, seed, loss) })
	}
	wg.Wait()
	t := table{title: fmt.Sprintf("Mass events at %d members", members), header: []string{
		"event", "loss %", "seconds to 99%", "seconds to all", "bytes/s per node meanwhile", "bytes/s worst node", "false suspicions", "false deaths"}}
	for _, rows := range results {
		for _, r := range rows {
			t.add(r.name, r.loss, seconds(r.most), seconds(r.all), fmt.Sprintf("%.0f", r.meanBytes), fmt.Sprintf("%.0f", r.worstBytes),
				count(r.suspicions), count(r.falseDeaths))
		}
	}
	t.print(out)
}

// converge runs until all agree and fills in a row.
func converge(c *cluster.Cluster, name string, loss float64, limit time.Duration) scenarioRow {
	r := scenarioRow{name: name, loss: fmt.Sprintf("%.0f", loss*100)}
	start, suspicions, deaths := c.Net.Now(), c.FalseSuspicions, c.FalseDeaths
	before := moved(c)
	most, ok := c.RunUntilConverged(0.99, limit)
	r.most = outcome(most, ok)
	all, ok := c.RunUntilConverged(1, limit)
	r.all = outcome(most+all, ok)
	r.traffic(c, before, max(c.Net.Now().Sub(start), time.Second))
	r.suspicions, r.falseDeaths = c.FalseSuspicions-suspicions, c.FalseDeaths-deaths
	return r
}

// moved returns the bytes in both directions of each running process.
func moved(c *cluster.Cluster) map[int]uint64 {
	out := make(map[int]uint64)
	for _, p := range c.Up() {
		s := p.Node.Stats()
		out[p.Index] = s.BytesSent + s.BytesReceived
	}
	return out
}

// traffic fills in the bytes per second since before.
func (r *scenarioRow) traffic(c *cluster.Cluster, before map[int]uint64, took time.Duration) {
	for i, after := range moved(c) {
		b := float64(after-before[i]) / took.Seconds()
		r.meanBytes += b / float64(len(before))
		r.worstBytes = max(r.worstBytes, b)
	}
}

// count formats n; a negative n means that it was not counted.
func count(n int) string {
	if n < 0 {
		return "not counted"
	}
	return strconv.Itoa(n)
}

func settled(members int, seed uint64, loss float64) *cluster.Cluster {
	c := cluster.New(cluster.Options{Members: members, Seed: seed, Loss: loss})
	c.Start()
	c.RunUntilConverged(1, gossipLimit)
	c.Net.Run(30 * time.Second)
	return c
}

func domainScenario(members int, seed uint64, loss float64) []scenarioRow {
	c := settled(members, seed, loss)
	for i := range domainNodes {
		c.Kill(c.Peers[members-1-i])
	}
	lost := converge(c, fmt.Sprintf("%d nodes lost at once", domainNodes), loss, 5*time.Minute)
	for i := range domainNodes {
		c.Restart(c.Peers[members-1-i])
	}
	back := converge(c, fmt.Sprintf("%d nodes start again", domainNodes), loss, 5*time.Minute)
	return []scenarioRow{lost, back}
}

func regionScenario(members int, seed uint64, loss float64) []scenarioRow {
	c := settled(members, seed, loss)
	inside := func(p *cluster.Peer) bool { return p.Index >= members-regionNodes }
	c.Cut(inside)
	start := c.Net.Now()
	cut := scenarioRow{name: fmt.Sprintf("%d nodes cut off", regionNodes), loss: fmt.Sprintf("%.0f", loss*100)}
	before := moved(c)
	sides := func() bool {
		for _, p := range c.Up() {
			want := members - regionNodes
			if inside(p) {
				want = regionNodes
			}
			if p.Node.Size() != want {
				return false
			}
		}
		return true
	}
	cut.most, cut.all = -1, -1
	for c.Net.Now().Sub(start) < regionCut {
		c.Net.Run(time.Second)
		if cut.all < 0 && sides() {
			cut.all = c.Net.Now().Sub(start)
		}
	}
	cut.traffic(c, before, regionCut)
	// The rows of a cut hold no false reports: what a side says about the other
	// is true by its own lights.
	cut.suspicions, cut.falseDeaths = -1, -1
	c.Heal()
	back := converge(c, fmt.Sprintf("%d nodes back after %s", regionNodes, regionCut), loss, 10*time.Minute)
	back.suspicions, back.falseDeaths = -1, -1
	return []scenarioRow{cut, back}
}
