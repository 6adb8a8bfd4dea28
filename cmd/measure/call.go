package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/node"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

func init() {
	register(measurement{"call", "cost of a call: direct, through one node and through two", measureCall})
}

// callBench is two nodes with one target each; calls go to the second one's.
type callBench struct {
	nodes   [2]*node.Node
	targets [2]*target.Target
	client  *http.Client
}

// callRoute is one way to reach the target.
type callRoute struct{ name, address string }

func measureCall(out io.Writer, args []string) error {
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	length := flags.Duration("length", 4*time.Second, "length of each point")
	rounds := flags.Int("rounds", 3, "rounds; the routes take turns in each")
	if err := flags.Parse(args); err != nil {
		return err
	}
	b, err := startCallBench()
	if err != nil {
		return err
	}
	defer b.stop()
	routes := []callRoute{
		{"direct", b.targets[1].Address()}, {"one node", b.nodes[1].Address("caller")}, {"two nodes", b.nodes[0].Address("caller")},
	}
	t := table{
		title:  fmt.Sprintf("Cost of a call, %d cores, all processes in one, loopback", runtime.GOMAXPROCS(0)),
		header: []string{"calls/s", "route", "median (ms)", "p99 (ms)", "added median (ms)", "added p99 (ms)", "processor time per call (µs)", "allocations per call", "failed"},
	}
	for _, rate := range []float64{200, 1000, 3000} {
		points := make([]callPoint, len(routes))
		for i := range points {
			points[i].latency = hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
		}
		for range *rounds {
			for i, r := range routes {
				b.load(&points[i], r.address, rate, *length/time.Duration(*rounds))
			}
		}
		direct := &points[0]
		for i, r := range routes {
			p := &points[i]
			t.add(fmt.Sprint(rate), r.name, p.quantile(50), p.quantile(99),
				ms(p.latency.ValueAtQuantile(50)-direct.latency.ValueAtQuantile(50)),
				ms(p.latency.ValueAtQuantile(99)-direct.latency.ValueAtQuantile(99)),
				fmt.Sprintf("%.0f", float64(p.processor.Microseconds())/float64(p.latency.TotalCount())),
				fmt.Sprintf("%.0f", float64(p.allocations)/float64(p.latency.TotalCount())), fmt.Sprint(p.failed))
		}
	}
	t.print(out)
	return nil
}

// callPoint is what was seen at one rate on one route.
type callPoint struct {
	mu          sync.Mutex
	latency     *hdrhistogram.Histogram
	failed      int
	processor   time.Duration
	allocations uint64
}

func (p *callPoint) quantile(q float64) string { return ms(p.latency.ValueAtQuantile(q)) }

func ms(micros int64) string { return fmt.Sprintf("%.2f", float64(micros)/1000) }

func startCallBench() (*callBench, error) {
	log := logstore.New(logstore.Options{})
	b := &callBench{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	for i, service := range []string{"front", "back"} {
		record := &configlog.Record{
			Schema: configlog.Schema2, ID: uuid.NewString(), Name: policy.ServiceName{Customer: "bench", Service: service},
			Op: configlog.Put, Author: "measure", Policy: &configlog.PolicyBody{
				Slots: new(500), Connections: new(500), RetryAllowance: new(2), ColdStartMS: new(int64(1)),
				Classes: []configlog.ClassBody{{Name: "read", Importance: new(1), Retryable: true, TimeoutMS: new(int64(5000)), Match: []policy.Match{{Path: "/**"}}}},
			},
		}
		if _, err := log.Append(context.Background(), configlog.Stream, record.Encode()); err != nil {
			return nil, err
		}
		var seeds []string
		if i > 0 {
			seeds = []string{b.nodes[0].GossipAddress()}
		}
		const free = "127.0.0.1:0"
		b.nodes[i] = node.New(node.Config{
			CallerAddress: free, TargetSideAddress: free, PeerAddress: free, GossipAddress: free, AdminAddress: free,
			FailureDomain: "domain", Seeds: seeds, Log: log, Seed: uint64(i + 1),
		})
		if err := b.nodes[i].Start(); err != nil {
			return nil, err
		}
		b.targets[i] = target.New(target.Config{
			Customer: "bench", Service: service, Address: free, NodeAddress: b.nodes[i].Address("target-side"), Slots: 500,
		})
		if err := b.targets[i].Start(); err != nil {
			return nil, err
		}
	}
	for deadline := time.Now().Add(20 * time.Second); b.nodes[0].ReadyTargets() < 2 || b.nodes[1].ReadyTargets() < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return nil, kind.New(kind.NoTarget, "the nodes do not see the targets")
		}
	}
	return b, nil
}

func (b *callBench) stop() {
	for i := range b.nodes {
		b.targets[i].Stop()
		b.nodes[i].Close()
	}
}

// load sends Poisson arrivals at a rate and adds what it sees to p.
func (b *callBench) load(p *callPoint, address string, rate float64, length time.Duration) {
	rng := rand.New(rand.NewPCG(1, uint64(rate)))
	var wait sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	processor := processorTime()
	start := time.Now()
	for next := start; next.Sub(start) < length; {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		wait.Go(func() { b.call(p, address) })
	}
	wait.Wait()
	runtime.ReadMemStats(&after)
	p.processor += processorTime() - processor
	p.allocations += after.Mallocs - before.Mallocs
}

func (b *callBench) call(p *callPoint, address string) {
	start := time.Now()
	ok := false
	defer func() {
		took := time.Since(start).Microseconds()
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = p.latency.RecordValue(took)
		if !ok {
			p.failed++
		}
	}()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/item", nil)
	if err != nil {
		return
	}
	request.Host = "back.bench"
	response, err := b.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	ok = err == nil && response.StatusCode == http.StatusOK
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
