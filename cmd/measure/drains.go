package main

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/internal/memnet/cluster"
	"github.com/goldcrestsail/goldcrestsail/membership"
)

func init() {
	register(measurement{name: "drains", summary: "time until all members know of a draining target, over many drains, in virtual time", run: measureDrains})
}

// drainSpacing is the virtual time between two drains.
const drainSpacing = 5 * time.Second

func measureDrains(out io.Writer, args []string) error {
	members, loss, count, seed := 1400, 5, 40, uint64(1)
	p := flaggy.NewParser("measure drains")
	p.Int(&members, "n", "members", "number of members")
	p.Int(&loss, "l", "loss", "loss in percent")
	p.Int(&count, "d", "drains", "number of drains in the steady state, and again while a failure domain is lost")
	p.UInt64(&seed, "s", "seed", "seed of the run")
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	c := settled(members, seed, float64(loss)/100)
	t := table{title: fmt.Sprintf("Seconds until all of %d members know of a drain, %d%% loss", members, loss),
		header: []string{"state of the cluster", "drains", "median", "worst", "not within 3 s"}}
	t.add(drains(c, "steady", 0, count)...)
	for i := range domainNodes(members) {
		c.Kill(c.Peers[members-1-i])
	}
	t.add(drains(c, "failure domain just lost", count, count)...)
	t.print(out)
	return nil
}

// drains drains the targets of count members, beginning with the member first,
// and returns a row of the table.
func drains(c *cluster.Cluster, state string, first, count int) []string {
	var times []time.Duration
	late := 0
	for i := range count {
		p := c.Peers[first+i]
		meta := p.Node.Self().Meta
		meta.TargetState = membership.Draining
		w := c.Watch(p.Node.Self().ID, func(m membership.Member) bool { return m.Meta.TargetState == membership.Draining })
		start := c.Net.Now()
		p.Do(membership.LocalUpdate{Meta: meta})
		_, all := w.Run(30 * time.Second)
		if all < 0 || all > 3*time.Second {
			late++
		}
		if all < 0 {
			all = 30 * time.Second
		}
		times = append(times, all)
		c.Net.RunUntil(start.Add(drainSpacing), nil)
	}
	slices.Sort(times)
	return []string{state, strconv.Itoa(count), seconds(times[len(times)/2]), seconds(times[len(times)-1]), strconv.Itoa(late)}
}
