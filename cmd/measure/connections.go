package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"golang.org/x/sys/unix"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
	"github.com/goldcrestsail/goldcrestsail/node"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

func init() {
	register(measurement{"connections", "peer connections of nodes on loopback, their memory and traffic at rest, and idle processes", measureConnections})
}

const (
	// targetIdle is longer than nodes keep idle connections to their target, so
	// that only peer connections are left, and shorter than the 60 s for which
	// idle peer connections are kept.
	targetIdle = 12 * time.Second
	// idleWindow is the time over which traffic and processor time are counted.
	idleWindow = 10 * time.Second
	// headerBytes are those of IPv4 and of TCP with time stamps, per segment.
	headerBytes = 52
)

func measureConnections(out io.Writer, args []string) error {
	var binary string
	settings := "examples/local/node.json"
	p := flaggy.NewParser("measure connections")
	p.String(&binary, "b", "binary", "goldcrestsail command; without it no processes are measured")
	p.String(&settings, "s", "settings", "settings file from which those of the processes are made")
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	t := table{title: "Peer connections of nodes in one process, all pairs called once and then idle", header: []string{
		"nodes", "services", "connections per node (both directions)", "KB per node at rest", "KB per connection (both ends)",
		"goroutines per node at rest", "goroutines per connection", "idle bytes/s per connection (both directions)", "segments/s per connection",
		"processor time per node at rest (% of a core)", "more per connection end (% of a core)"}}
	for _, c := range []struct{ nodes, services int }{{4, 1}, {8, 2}, {16, 4}, {32, 1}, {32, 4}} {
		if err := connectionsPoint(&t, c.nodes, c.services); err != nil {
			return err
		}
	}
	t.print(out)
	if binary == "" {
		return nil
	}
	return measureProcesses(out, binary, settings)
}

// connectionBench is a cluster of nodes with one target each.
type connectionBench struct {
	nodes   []*node.Node
	targets []*target.Target
}

func connectionsPoint(t *table, nodes, services int) error {
	goroutines, memory := runtime.NumGoroutine(), heapAndStacks()
	b, err := startConnectionBench(nodes, services)
	if err != nil {
		return err
	}
	defer b.stop()
	time.Sleep(time.Second)
	restGoroutines, restMemory := runtime.NumGoroutine(), heapAndStacks()
	restShare := processorShare(idleWindow)
	if err := b.callAll(services); err != nil {
		return err
	}
	time.Sleep(targetIdle)
	before, err := b.peerTraffic()
	if err != nil {
		return err
	}
	usedGoroutines, usedMemory := runtime.NumGoroutine(), heapAndStacks()
	start := time.Now()
	usedShare := processorShare(idleWindow)
	after, err := b.peerTraffic()
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	// Both ends of each connection are sockets of this process.
	connections := float64(before.sockets) / 2
	segments := float64(after.segments-before.segments) / seconds / connections
	bytes := float64(after.bytes-before.bytes)/seconds/connections + segments*headerBytes
	n := float64(nodes)
	t.add(fmt.Sprint(nodes), fmt.Sprint(services), fmt.Sprintf("%.1f", float64(before.sockets)/n),
		fmt.Sprintf("%.0f", (restMemory-memory)/n/1024), fmt.Sprintf("%.1f", (usedMemory-restMemory)/connections/1024),
		fmt.Sprintf("%.1f", float64(restGoroutines-goroutines)/n), fmt.Sprintf("%.1f", float64(usedGoroutines-restGoroutines)/connections),
		fmt.Sprintf("%.0f", bytes), fmt.Sprintf("%.1f", segments),
		fmt.Sprintf("%.2f", restShare/n), fmt.Sprintf("%.3f", (usedShare-restShare)/connections/2))
	return nil
}

// processorShare returns the processor time of this process over a window, in
// percent of a core.
func processorShare(window time.Duration) float64 {
	start, before := time.Now(), processorTime()
	time.Sleep(window)
	return 100 * (processorTime() - before).Seconds() / time.Since(start).Seconds()
}

func startConnectionBench(nodes, services int) (*connectionBench, error) {
	const free = "127.0.0.1:0"
	log := logstore.New(logstore.Options{})
	for s := range services {
		record := &configlog.Record{
			Schema: configlog.Schema2, ID: uuid.NewString(), Name: policy.ServiceName{Customer: "bench", Service: fmt.Sprintf("service-%d", s)},
			Op: configlog.Put, Author: "measure", Policy: &configlog.PolicyBody{
				Slots: new(64), Connections: new(64), RetryAllowance: new(2), ColdStartMS: new(int64(1)),
				Classes: []configlog.ClassBody{{Name: "read", Importance: new(1), Retryable: true, TimeoutMS: new(int64(5000)), Match: []policy.Match{{Path: "/**"}}}},
			},
		}
		if _, err := log.Append(context.Background(), configlog.Stream, record.Encode()); err != nil {
			return nil, err
		}
	}
	b := &connectionBench{}
	for i := range nodes {
		var seeds []string
		if i > 0 {
			seeds = []string{b.nodes[0].GossipAddress()}
		}
		n := node.New(node.Config{
			CallerAddress: free, TargetSideAddress: free, PeerAddress: free, GossipAddress: free, AdminAddress: free,
			FailureDomain: "domain", Seeds: seeds, Log: log, Seed: uint64(i + 1),
		})
		if err := n.Start(); err != nil {
			b.stop()
			return nil, err
		}
		b.nodes = append(b.nodes, n)
		t := target.New(target.Config{
			Customer: "bench", Service: fmt.Sprintf("service-%d", i%services), Address: free, NodeAddress: n.Address("target-side"), Slots: 64,
		})
		if err := t.Start(); err != nil {
			b.stop()
			return nil, err
		}
		b.targets = append(b.targets, t)
	}
	for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range b.nodes {
			if n.ReadyTargets() == nodes {
				ready++
			}
		}
		if ready == nodes {
			return b, nil
		}
		if time.Now().After(deadline) {
			b.stop()
			return nil, fmt.Errorf("%d of %d nodes see all targets", ready, nodes)
		}
	}
}

func (b *connectionBench) stop() {
	for _, t := range b.targets {
		t.Stop()
	}
	for _, n := range b.nodes {
		n.Close()
	}
}

// callAll calls each service through each node often enough to reach every
// target of its subset.
func (b *connectionBench) callAll(services int) error {
	const callsPerService = 60
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	errs := make([]error, len(b.nodes))
	for i, n := range b.nodes {
		wait.Go(func() {
			for call := range services * callsPerService {
				request, err := http.NewRequest(http.MethodGet, "http://"+n.Address("caller")+"/item", nil)
				if err != nil {
					errs[i] = err
					return
				}
				request.Host = fmt.Sprintf("service-%d.bench", call%services)
				response, err := client.Do(request)
				if err != nil {
					errs[i] = err
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// peerTraffic is what the sockets of the peer connections have sent.
type peerTraffic struct {
	sockets         int
	bytes, segments uint64
}

// peerTraffic sums the kernel's counters of all sockets that have a node's peer
// address at one end.
func (b *connectionBench) peerTraffic() (peerTraffic, error) {
	peers := map[string]bool{}
	for _, n := range b.nodes {
		_, port, _ := strings.Cut(n.Address("peer"), ":")
		peers[port] = true
	}
	inodes, err := peerInodes(peers)
	if err != nil {
		return peerTraffic{}, err
	}
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return peerTraffic{}, err
	}
	var sum peerTraffic
	for _, e := range entries {
		link, err := os.Readlink("/proc/self/fd/" + e.Name())
		if err != nil || !inodes[strings.TrimSuffix(strings.TrimPrefix(link, "socket:["), "]")] {
			continue
		}
		fd, err := strconv.Atoi(e.Name())
		if err != nil {
			continue
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return peerTraffic{}, err
		}
		sum.sockets++
		sum.bytes += info.Bytes_acked
		sum.segments += uint64(info.Segs_out)
	}
	return sum, nil
}

// peerInodes returns the established sockets with one of the ports at one end.
func peerInodes(ports map[string]bool) (map[string]bool, error) {
	inodes := map[string]bool{}
	for _, file := range []string{"/proc/self/net/tcp", "/proc/self/net/tcp6"} {
		data, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n")[1:] {
			f := strings.Fields(line)
			const established = "01"
			if len(f) > 9 && f[3] == established && (ports[hexPort(f[1])] || ports[hexPort(f[2])]) {
				inodes[f[9]] = true
			}
		}
	}
	if len(inodes) == 0 {
		return nil, fmt.Errorf("no peer connections found")
	}
	return inodes, nil
}

// hexPort returns the port of an address in the form of /proc/net/tcp.
func hexPort(address string) string {
	_, port, _ := strings.Cut(address, ":")
	b, err := hex.DecodeString(port)
	if err != nil || len(b) != 2 {
		return ""
	}
	return strconv.Itoa(int(b[0])<<8 | int(b[1]))
}

// heapAndStacks returns the live heap and the stacks in bytes.
func heapAndStacks() float64 {
	heap := heapInUse()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return heap + float64(m.StackInuse)
}
