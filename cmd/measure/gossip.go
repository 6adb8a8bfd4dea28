package main

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/internal/memnet/cluster"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

func init() {
	register(measurement{name: "gossip", summary: "traffic, dissemination times and false reports of the membership, in virtual time", run: measureGossip})
}

// gossipWindow is the virtual time over which steady traffic is measured.
const gossipWindow = 60 * time.Second

// gossipLimit bounds the virtual time that one dissemination may take.
const gossipLimit = 3 * time.Minute

// gossipRow is the result of one cluster size and loss.
type gossipRow struct {
	members                            int
	loss                               float64
	start99, startAll, startTook       time.Duration
	bytes, worstBytes, datagrams       float64
	joinOne99, joinAll, drain99, drain time.Duration
	leave99, leave, fail99, fail       time.Duration
	falseSuspicions, falseDeaths       int
	observed                           time.Duration
	perDatagram                        time.Duration
	bytesPerMember                     float64
	largest                            int
}

func measureGossip(out io.Writer, args []string) error {
	sizes, losses := []int{50, 100, 200, 400, 800, 1400}, []float64{0, 0.05, 0.2}
	var only int
	var onlyLoss = -1
	seed, parallel, scenarios := uint64(1), 4, true
	p := flaggy.NewParser("measure gossip")
	p.Int(&only, "n", "members", "measure only this number of members")
	p.Int(&onlyLoss, "l", "loss", "measure only this loss, in percent")
	p.UInt64(&seed, "s", "seed", "seed of the runs")
	p.Int(&parallel, "p", "parallel", "number of clusters simulated at once")
	p.Bool(&scenarios, "c", "scenarios", "also measure the loss of a failure domain and of a region")
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	if only > 0 {
		sizes = []int{only}
	}
	if onlyLoss >= 0 {
		losses = []float64{float64(onlyLoss) / 100}
	}
	// Memory is measured first and alone: it is read from the whole process.
	memory := make(map[int]float64)
	for _, n := range sizes {
		memory[n] = gossipMemory(n, seed)
	}
	rows := make([]gossipRow, len(sizes)*len(losses))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, parallel))
	for i := len(rows) - 1; i >= 0; i-- {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wg.Done() }()
			rows[i] = gossipCase(sizes[i/len(losses)], losses[i%len(losses)], seed)
		}()
	}
	wg.Wait()
	for i := range rows {
		rows[i].bytesPerMember = memory[rows[i].members]
	}
	printGossip(out, rows)
	if scenarios {
		n := slices.Max(sizes)
		printScenarios(out, n, seed)
	}
	return nil
}

// gossipMemory returns the heap bytes that one node needs per member.
func gossipMemory(members int, seed uint64) float64 {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	c := cluster.New(cluster.Options{Members: members, Seed: seed})
	c.Start()
	c.RunUntilConverged(1, gossipLimit)
	used := heap() - before
	runtime.KeepAlive(c)
	return used / float64(members) / float64(members)
}

func gossipCase(members int, loss float64, seed uint64) gossipRow {
	r := gossipRow{members: members, loss: loss}
	c := cluster.New(cluster.Options{Members: members, Seed: seed, Loss: loss, Timed: true})
	begin := c.Net.Now()
	c.Start()
	r.startTook = c.Net.Now().Sub(begin)
	most, ok := c.RunUntilConverged(0.99, gossipLimit)
	r.start99 = outcome(most, ok)
	all, ok := c.RunUntilConverged(1, gossipLimit)
	r.startAll = outcome(most+all, ok)
	c.Net.Run(30 * time.Second)

	before := make([]membership.Stats, members)
	for i, p := range c.Peers {
		before[i] = p.Node.Stats()
	}
	suspicions, deaths, start := c.FalseSuspicions, c.FalseDeaths, c.Net.Now()
	stepTime, moved := c.StepTime, c.Net.Counters()
	c.Net.Run(gossipWindow)
	secs := gossipWindow.Seconds()
	for i, p := range c.Peers {
		s := p.Node.Stats()
		b := float64(s.BytesSent-before[i].BytesSent+s.BytesReceived-before[i].BytesReceived) / secs
		r.bytes += b / float64(members)
		r.worstBytes = max(r.worstBytes, b)
		r.datagrams += float64(s.DatagramsSent-before[i].DatagramsSent+s.DatagramsReceived-before[i].DatagramsReceived) / secs / float64(members)
	}
	now := c.Net.Counters()
	r.perDatagram = (c.StepTime - stepTime) / time.Duration(now.Delivered-moved.Delivered+now.Sent-moved.Sent)

	joined := c.Add()
	w := c.Watch(joined.Node.Self().ID, func(m membership.Member) bool { return m.State == membership.Alive })
	r.joinOne99, r.joinAll = w.Run(gossipLimit)
	c.Net.Run(20 * time.Second)

	meta := joined.Node.Self().Meta
	meta.TargetState = membership.Draining
	w = c.Watch(joined.Node.Self().ID, func(m membership.Member) bool { return m.Meta.TargetState == membership.Draining })
	joined.Do(membership.LocalUpdate{Meta: meta})
	r.drain99, r.drain = w.Run(gossipLimit)
	c.Net.Run(20 * time.Second)

	gone := func(m membership.Member) bool { return !m.State.Present() }
	w = c.Watch(joined.Node.Self().ID, gone)
	joined.Do(membership.Leave{})
	r.leave99, r.leave = w.Run(gossipLimit)
	c.Net.Run(20 * time.Second)

	victim := c.Peers[members/2]
	w = c.Watch(victim.Node.Self().ID, gone)
	c.Kill(victim)
	r.fail99, r.fail = w.Run(gossipLimit)

	r.observed = c.Net.Now().Sub(start)
	r.falseSuspicions, r.falseDeaths = c.FalseSuspicions-suspicions, c.FalseDeaths-deaths
	r.largest = c.Largest
	return r
}

func outcome(d time.Duration, ok bool) time.Duration {
	if !ok {
		return -1
	}
	return d
}

func printGossip(out io.Writer, rows []gossipRow) {
	traffic := table{title: "Traffic, processor time and memory in the steady state", header: []string{
		"members", "loss %", "bytes/s per node", "bytes/s worst node", "datagrams/s per node", "µs per datagram", "bytes of memory per member", "largest datagram"}}
	times := table{title: "Seconds until known by 99% and by all", header: []string{
		"members", "loss %", "all start 99%", "all start", "join 99%", "join", "drain 99%", "drain", "leave 99%", "leave", "failure 99%", "failure"}}
	reports := table{title: "False reports, summed over all reporting nodes", header: []string{
		"members", "loss %", "virtual seconds", "false suspicions", "false deaths"}}
	for _, r := range rows {
		n, loss := strconv.Itoa(r.members), fmt.Sprintf("%.0f", r.loss*100)
		traffic.add(n, loss, fmt.Sprintf("%.0f", r.bytes), fmt.Sprintf("%.0f", r.worstBytes), fmt.Sprintf("%.2f", r.datagrams),
			fmt.Sprintf("%.1f", float64(r.perDatagram.Nanoseconds())/1000), fmt.Sprintf("%.0f", r.bytesPerMember), strconv.Itoa(r.largest))
		times.add(n, loss, seconds(r.start99), seconds(r.startAll), seconds(r.joinOne99), seconds(r.joinAll), seconds(r.drain99), seconds(r.drain),
			seconds(r.leave99), seconds(r.leave), seconds(r.fail99), seconds(r.fail))
		reports.add(n, loss, fmt.Sprintf("%.0f", r.observed.Seconds()), strconv.Itoa(r.falseSuspicions), strconv.Itoa(r.falseDeaths))
	}
	fmt.Fprintln(out, "Bytes and datagrams count both directions, with 28 bytes of IP and UDP headers per datagram.")
	traffic.print(out)
	times.print(out)
	reports.print(out)
}
