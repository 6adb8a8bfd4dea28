package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goldcrestsail/goldcrestsail/platform/storetest"
)

// Bounds of a small deployment, as the settings example of the pages gives them.
const (
	heartbeat    = 1500 * time.Millisecond
	drainTime    = 2 * time.Second
	reuseDelay   = 2 * time.Second
	contactTime  = 3 * time.Second
	graceSeconds = 6
	nodeProgram  = "target/goldcrestsail"
	// portsPerNode is how many ports from firstPort on a node and its backend use.
	portsPerNode = 40
)

// deployment is the platform's store and the nodes, each beside one backend address.
type deployment struct {
	rec   *record
	dir   string
	store *storetest.Store
	nodes []*node
	// network and firstPort are where the addresses of the nodes are.
	network   string
	firstPort int
}

// node is a node process and the addresses that it serves.
type node struct {
	d                                       *deployment
	name, zone, service, ip                 string
	caller, ready, control, app, peer, path string
	storeAddress                            string
	cmd                                     *exec.Cmd
	done                                    chan struct{}
}

// newDeployment starts a store that holds the given configuration.
func newDeployment(rec *record, config string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: storetest.Start()}
	if err := d.chooseAddresses(); err != nil {
		return nil, err
	}
	running.Store(d)
	d.store.Put("keyed.op", "config", []byte(config))
	return d, nil
}

// running is the deployment whose processes are ended if the harness is stopped.
var running atomic.Pointer[deployment]

// chooseAddresses chooses a loopback network on which the ports of four nodes are free.
func (d *deployment) chooseAddresses() error {
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 40+rand.IntN(100), rand.IntN(250))
		d.firstPort = 20_000 + rand.IntN(8_000)
		if d.addressesFree() {
			return nil
		}
	}
	return errors.New("no free ports found")
}

func (d *deployment) addressesFree() bool {
	for host := range 4 {
		for port := range portsPerNode {
			l, err := net.Listen("tcp", d.address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// address returns an address of the node with the given number.
func (d *deployment) address(node, offset int) string {
	return fmt.Sprintf("%s.%d:%d", d.network, 2+node, d.firstPort+offset)
}

// addNode reserves the addresses of a node on a loopback address of its own.
func (d *deployment) addNode(service, zone string) (*node, error) {
	n := &node{d: d, service: service, zone: zone, storeAddress: d.store.Address()}
	n.name = fmt.Sprintf("sidecar-%s-%d", zone, len(d.nodes)+1)
	n.ip = fmt.Sprintf("%s.%d", d.network, 2+len(d.nodes))
	n.path = filepath.Join(d.dir, n.name+".json")
	at := func(offset int) string { return d.address(len(d.nodes), offset) }
	n.peer, n.caller, n.ready, n.control, n.app = at(0), at(20), at(21), at(22), at(23)
	d.nodes = append(d.nodes, n)
	return n, n.writeSettings()
}

// writeSettings writes the settings file in the form of deploy/node.settings.json.
func (n *node) writeSettings() error {
	text, err := json.MarshalIndent(map[string]any{
		"instance": n.name, "failure_domain": n.zone, "region": "region", "ip": n.ip, "service": n.service,
		"target_address": n.app, "caller_address": n.caller, "ready_address": n.ready, "report_address": n.control,
		"first_port": n.d.firstPort, "last_port": n.d.firstPort + 15, "admin_port": n.d.firstPort + 30,
		"store_address": n.storeAddress, "report_seconds": heartbeat.Seconds(), "grace_seconds": graceSeconds,
		"memory_mb": 284, "body_memory_share": 0.15, "retry_ratio": 0.2, "retry_window_seconds": 10, "retry_slack": 49, "log_level": "info",
	}, "", "  ")
	if err != nil {
		return err
	}
	// The rename keeps the node from reading half a file.
	if err := os.WriteFile(n.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.path+".new", n.path)
}

// start starts the node's process as the deploy file does.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(nodeProgram, "platform-node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTSAIL_SETTINGS=" + n.path}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.d.rec.printf("node %s started, pid %d", n.name, n.cmd.Process.Pid)
	done := make(chan struct{})
	n.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(n.cmd)
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.d.rec.printf("%s to node %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

// awaitEnd waits for the end of the process.
func (n *node) awaitEnd(timeout time.Duration) bool {
	select {
	case <-n.done:
		n.d.rec.printf("node %s ended: %s", n.name, n.cmd.ProcessState)
		return true
	case <-time.After(timeout):
		return false
	}
}

// isReady makes the platform's readiness check.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/goldcrestsail/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the given nodes are ready.
func awaitReady(timeout time.Duration, nodes ...*node) error {
	end := time.Now().Add(timeout)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready after %s", n.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// killNodes ends all node processes, paused ones too.
func (d *deployment) killNodes() {
	for _, n := range d.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
}

// close ends all processes and the store, and removes the folder unless KEEP is set.
func (d *deployment) close() {
	d.killNodes()
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("node logs:", d.dir)
	}
}

// listen opens a listener on a fixed address that an earlier one may just have left.
func listen(address string) (net.Listener, error) {
	for attempt := 0; ; attempt++ {
		l, err := net.Listen("tcp", address)
		if err == nil || attempt == 50 {
			return l, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
