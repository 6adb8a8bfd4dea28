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
				strconv.Itoa(r.suspicions), strconv.Itoa(r.falseDeaths))
		}
	}
	t.print(out)
}

// converge runs until all agree and fills in a row.
func converge(c *cluster.Cluster, name string, loss float64, limit time.Duration) scenarioRow {
	r := scenarioRow{name: name, loss: fmt.Sprintf("%.0f", loss*100)}
	start, suspicions, deaths := c.Net.Now(), c.FalseSuspicions, c.FalseDeaths
	before := make(map[int]uint64)
	up := c.Up()
	for _, p := range up {
		s := p.Node.Stats()
		before[p.Index] = s.BytesSent + s.BytesReceived
	}
	most, ok := c.RunUntilConverged(0.99, limit)
	r.most = outcome(most, ok)
	all, ok := c.RunUntilConverged(1, limit)
	r.all = outcome(most+all, ok)
	took := max(c.Net.Now().Sub(start).Seconds(), 1)
	for _, p := range up {
		s := p.Node.Stats()
		b := float64(s.BytesSent+s.BytesReceived-before[p.Index]) / took
		r.meanBytes += b / float64(len(up))
		r.worstBytes = max(r.worstBytes, b)
	}
	r.suspicions, r.falseDeaths = c.FalseSuspicions-suspicions, c.FalseDeaths-deaths
	return r
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
	cut := converge(c, fmt.Sprintf("%d nodes cut off", regionNodes), loss, time.Second)
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
	cut.meanBytes, cut.worstBytes = 0, 0
	c.Heal()
	back := converge(c, fmt.Sprintf("%d nodes back after %s", regionNodes, regionCut), loss, 10*time.Minute)
	return []scenarioRow{cut, back}
}
