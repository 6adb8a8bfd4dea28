package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/memnet/cluster"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

func init() {
	register(measurement{"config", "cost of folding and encoding the configuration, and its spread between members in virtual time", measureConfig})
}

const (
	// configClasses is the number of classes of each measured policy.
	configClasses = 4
	// configPull is the virtual time from the news of a higher offset to the
	// adopted state: one RPC between peers.
	configPull = 50 * time.Millisecond
)

func measureConfig(out io.Writer, args []string) error {
	members, seed := []int{100, 400, 1400}, uint64(1)
	var only int
	p := flaggy.NewParser("measure config")
	p.Int(&only, "n", "members", "measure the spread only with this number of members")
	p.UInt64(&seed, "s", "seed", "seed of the spread")
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	if only > 0 {
		members = []int{only}
	}
	costs := table{title: fmt.Sprintf("Cost of the configuration, policies of %d classes", configClasses), header: []string{
		"services", "changes", "µs per Fold", "µs per Clone", "heap of the state (KB)", "change record (B)", "snapshot (KB)", "delta of one change (B)", "ms to adopt the snapshot"}}
	for _, services := range []int{10, 50, 95} {
		for _, changes := range []int{0, 1100, 5500} {
			if err := configCost(&costs, services, changes); err != nil {
				return err
			}
		}
	}
	costs.print(out)
	spread := table{title: fmt.Sprintf("Seconds of virtual time from the followers' read to all members, pull %s", configPull), header: []string{
		"members", "loss %", "followers", "half", "99%", "all"}}
	for _, n := range members {
		for _, loss := range []float64{0, 0.05} {
			configSpread(&spread, n, loss, seed)
		}
	}
	spread.print(out)
	return nil
}

// configCost adds the row of one state: the services are put once and then
// changed in turn.
func configCost(t *table, services, changes int) error {
	var records []logservice.Record
	for i := range services + changes {
		records = append(records, configRecord(i, i%services, uint64(i/services)))
	}
	before := heapInUse()
	state := configlog.NewState()
	var took []time.Duration
	for _, r := range records {
		start := time.Now()
		result := configlog.Fold(state, r)
		took = append(took, time.Since(start))
		if result.Outcome != configlog.Accepted {
			return fmt.Errorf("offset %d: %s", r.Offset, result.Outcome)
		}
	}
	// Restoring drops the references to the records that were folded.
	snapshot := configlog.EncodeSnapshot(state)
	state = nil
	restored, err := configlog.DecodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	heap := heapInUse() - before
	slices.Sort(took)
	clone := perCall(200, func() { restored.Clone() })
	delta := configlog.EncodeDelta(restored, restored.Offset()-1)
	adopt := perCall(5, func() { _, err = configlog.Adopt(configlog.NewState(), snapshot) })
	if err != nil {
		return err
	}
	// The snapshot itself is part of the heap that was measured.
	heap -= float64(len(snapshot))
	t.add(fmt.Sprint(services), fmt.Sprint(changes), micros(took[len(took)/2]), micros(clone), fmt.Sprintf("%.0f", max(0, heap)/1024),
		fmt.Sprint(len(records[0].Data)), fmt.Sprintf("%.1f", float64(len(snapshot))/1024), fmt.Sprint(len(delta)),
		fmt.Sprintf("%.1f", float64(adopt.Microseconds())/1000))
	runtime.KeepAlive(restored)
	runtime.KeepAlive(records)
	return nil
}

// configRecord returns the change at an offset.
func configRecord(offset, service int, base uint64) logservice.Record {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], uint64(offset)+1)
	body := &configlog.PolicyBody{Slots: new(70), Connections: new(500), RetryAllowance: new(2)}
	for c := range configClasses {
		body.Classes = append(body.Classes, configlog.ClassBody{
			Name: fmt.Sprintf("class-%d", c), Importance: new(c), Retryable: c > 0, NonIdempotent: c == 0, TimeoutMS: new(int64(1500)),
			Match: []policy.Match{{Methods: []string{"GET", "POST"}, Path: fmt.Sprintf("/section-%d/*/item/**", c)}},
		})
	}
	r := configlog.Record{
		Schema: configlog.Schema2, ID: id.String(), Name: policy.ServiceName{Customer: "customer", Service: fmt.Sprintf("service-%d", service)},
		Base: base, Op: configlog.Put, Author: "operator@example.com", Policy: body,
	}
	return logservice.Record{Offset: uint64(offset), Time: time.Unix(1_700_000_000+int64(offset), 0), Data: r.Encode()}
}

// configSpread adds the row of one change that all followers read at once;
// every other member pulls it after it has seen the higher offset.
func configSpread(t *table, members int, loss float64, seed uint64) {
	const followersPerDomain, domains, offset = 3, 11, 9
	c := cluster.New(cluster.Options{Members: members, Seed: seed, Loss: loss})
	c.Start()
	c.RunUntilConverged(1, gossipLimit)
	due, known := map[int]time.Time{}, map[int]time.Time{}
	c.OnEffect = func(p *cluster.Peer, e membership.Effect) {
		if _, ok := e.(membership.ConfigOffsetSeen); ok && due[p.Index].IsZero() {
			due[p.Index] = c.Net.Now().Add(configPull)
		}
	}
	start := c.Net.Now()
	// Members are assigned to failure domains in turn.
	followers := min(members, followersPerDomain*domains)
	for i := range followers {
		due[i] = start
	}
	for c.Net.Now().Sub(start) < gossipLimit && len(known) < members {
		now := c.Net.Now()
		for i, p := range c.Peers {
			if at, ok := due[i]; ok && known[i].IsZero() && !at.After(now) {
				known[i] = now
				p.Do(membership.SetConfigOffset{Offset: offset})
			}
		}
		c.Net.Run(10 * time.Millisecond)
	}
	var took []time.Duration
	for _, at := range known {
		took = append(took, at.Sub(start))
	}
	slices.Sort(took)
	at := func(share float64) string {
		i := max(0, int(share*float64(members)+0.999)-1)
		if i >= len(took) {
			return "not reached"
		}
		return fmt.Sprintf("%.1f", took[i].Seconds())
	}
	t.add(fmt.Sprint(members), fmt.Sprintf("%.0f", loss*100), fmt.Sprint(followers), at(0.5), at(0.99), at(1))
}

// heapInUse returns the live heap in bytes.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func perCall(n int, f func()) time.Duration {
	start := time.Now()
	for range n {
		f()
	}
	return time.Since(start) / time.Duration(n)
}

func micros(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Nanoseconds())/1000) }
