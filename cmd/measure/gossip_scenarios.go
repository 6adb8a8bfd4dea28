package main

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/memnet/cluster"
)

// regionCut is how long the region is cut off.
const regionCut = 5 * time.Minute

// scenarioLoss is the loss during the scenarios.
const scenarioLoss = 0.05

// domainNodes and regionNodes return the sizes of a failure domain and of a
// region: 130 and 280 of 1,400 members.
func domainNodes(members int) int { return members * 13 / 140 }
func regionNodes(members int) int { return members / 5 }

// scenarioRow is the result of one scenario.
type scenarioRow struct {
	name                    string
	most, all               time.Duration
	meanBytes, worstBytes   float64
	falseDeaths, suspicions int
}

func printScenarios(out io.Writer, members int, seed uint64) {
	var domain, region []scenarioRow
	var wg sync.WaitGroup
	wg.Go(func() { domain = domainScenario(members, seed, scenarioLoss) })
	wg.Go(func() { region = regionScenario(members, seed, scenarioLoss) })
	wg.Wait()
	t := table{title: fmt.Sprintf("Mass events at %d members and %.0f%% loss", members, scenarioLoss*100), header: []string{
		"event", "seconds to 99%", "seconds to all", "bytes/s per node meanwhile", "bytes/s worst node", "false suspicions", "false deaths"}}
	for _, r := range append(domain, region...) {
		t.add(r.name, seconds(r.most), seconds(r.all), fmt.Sprintf("%.0f", r.meanBytes), fmt.Sprintf("%.0f", r.worstBytes),
			count(r.suspicions), count(r.falseDeaths))
	}
	t.print(out)
}

// converge runs until all agree and fills in a row.
func converge(c *cluster.Cluster, name string, limit time.Duration) scenarioRow {
	r := scenarioRow{name: name}
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
	lostNodes := domainNodes(members)
	for i := range lostNodes {
		c.Kill(c.Peers[members-1-i])
	}
	lost := converge(c, fmt.Sprintf("%d nodes lost at once", lostNodes), 5*time.Minute)
	for i := range lostNodes {
		c.Restart(c.Peers[members-1-i])
	}
	back := converge(c, fmt.Sprintf("%d nodes start again", lostNodes), 5*time.Minute)
	return []scenarioRow{lost, back}
}

func regionScenario(members int, seed uint64, loss float64) []scenarioRow {
	c := settled(members, seed, loss)
	cutNodes := regionNodes(members)
	inside := func(p *cluster.Peer) bool { return p.Index >= members-cutNodes }
	c.Cut(inside)
	start := c.Net.Now()
	cut := scenarioRow{name: fmt.Sprintf("%d nodes cut off", cutNodes)}
	before := moved(c)
	sides := func() bool {
		for _, p := range c.Up() {
			want := members - cutNodes
			if inside(p) {
				want = cutNodes
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
	// False reports are not counted here: during a cut a side cannot know that
	// the other still runs.
	cut.suspicions, cut.falseDeaths = -1, -1
	c.Heal()
	back := converge(c, fmt.Sprintf("%d nodes back after %.0f s", cutNodes, regionCut.Seconds()), 6*time.Minute)
	back.suspicions, back.falseDeaths = -1, -1
	return []scenarioRow{cut, back}
}
