package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goldcrestsail/goldcrestsail/platform"
	"github.com/goldcrestsail/goldcrestsail/platform/storetest"
)

// The bounds and limits are those of the site qureshi-corknet.
const (
	heartbeat   = 1500 * time.Millisecond
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	graceTime   = 6 * time.Second
	startTime   = 20 * time.Second
)

// The ports that a machine uses on its own loopback address.
const (
	peerPort = 27620 + iota
	gossipPort
	outboundPort
	readyPort
	controlPort
	adminPort
	backendPort
)

// route is a route of the configuration.
type route struct {
	host     string
	unsafe   bool
	timeout  time.Duration
	service  string
	attempts int
}

// machine is a node and its backend.
type machine struct {
	name, service, ip string
	settings          platform.Settings
	settingsPath      string
	logPath           string
	cmd               *exec.Cmd
	exited            chan struct{}
	backend           *backend
	// ready is whether clients send work to the node.
	ready atomic.Bool
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// deployment is a store and a number of machines.
type deployment struct {
	play     *play
	dir      string
	store    *storetest.Store
	machines []*machine
	cancel   context.CancelFunc
	clients  sync.WaitGroup
	stopOnce sync.Once
}

// start starts a store with a configuration, and the machines, one for each service given.
func (p *play) start(services []string, routes []route, b backendConfig) (*deployment, context.Context, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{play: p, dir: dir, store: storetest.Start(), cancel: cancel}
	p.deployment = d
	d.store.Put("keyed.op", "config", configText(1, services, routes))
	network, err := freeNetwork(len(services))
	if err != nil {
		return nil, nil, err
	}
	for i, service := range services {
		name, storeAddress := fmt.Sprintf("m%d", i+1), d.store.Address()
		if p.storeFor != nil {
			if storeAddress, err = p.storeFor(name, storeAddress); err != nil {
				return nil, nil, err
			}
		}
		d.machines = append(d.machines, d.newMachine(name, service, fmt.Sprintf("%s.%d", network, i+2), storeAddress, i%cmp.Or(p.zones, 2)))
	}
	for _, m := range d.machines {
		m.backend = newBackend(p, m, b)
		if err := d.startNode(m); err != nil {
			return nil, nil, err
		}
		if err := m.backend.start(); err != nil {
			return nil, nil, err
		}
	}
	for _, m := range d.machines {
		go d.watchReady(ctx, m)
	}
	return d, ctx, nil
}

// freeNetwork returns the first three bytes of a loopback network on which the ports of
// the machines are free.
func freeNetwork(machines int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		if networkIsFree(network, machines) {
			return network, nil
		}
	}
	return "", errors.New("no free ports")
}

func networkIsFree(network string, machines int) bool {
	for i := range machines {
		for port := peerPort; port <= backendPort; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+2, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) newMachine(name, service, ip, storeAddress string, zone int) *machine {
	m := &machine{
		name: name, service: service, ip: ip,
		settingsPath: filepath.Join(d.dir, name+".settings.json"), logPath: filepath.Join(d.dir, name+".log"),
	}
	// The fields and shares of deploy/node.settings.json.
	m.settings = platform.Settings{
		Instance: name, FailureDomain: fmt.Sprintf("zone-%d", zone), Region: "region", IP: ip, Service: service,
		TargetAddress: m.at(backendPort), CallerAddress: m.at(outboundPort), ReadyAddress: m.at(readyPort), ReportAddress: m.at(controlPort),
		FirstPort: peerPort, LastPort: gossipPort, AdminPort: adminPort, StoreAddress: storeAddress, ReportSeconds: heartbeat.Seconds(),
		GraceSeconds: graceTime.Seconds(), MemoryMB: 284, BodyMemoryShare: 0.15, RetryRatio: 0.2, RetryWindowSeconds: 10, RetrySlack: 49, LogLevel: "info",
	}
	return m
}

// startNode starts the node of a machine with the command of the deploy file.
func (d *deployment) startNode(m *machine) error {
	text, err := json.Marshal(&m.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.settingsPath, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd, exited := exec.Command(d.play.program, "platform-node"), make(chan struct{})
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+m.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	// The node ends with this process, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// watchReady asks a node once a second whether it is ready, as the platform does.
func (d *deployment) watchReady(ctx context.Context, m *machine) {
	client := &http.Client{Timeout: time.Second}
	for misses := 0; ctx.Err() == nil; time.Sleep(time.Second) {
		response, err := client.Get("http://" + m.at(readyPort) + "/goldcrestsail/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
			m.ready.Store(true)
		} else if misses++; misses >= 2 {
			m.ready.Store(false)
		}
	}
}

// awaitServing waits until requests to a host have been answered with success at all
// machines for a while.
func (d *deployment) awaitServing(ctx context.Context, host string) error {
	good := 0
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		var failed atomic.Bool
		var group sync.WaitGroup
		for _, m := range d.machines {
			group.Go(func() {
				q := d.send(ctx, m, attempt{host: host, deadline: 3 * time.Second})
				if !m.ready.Load() || q.status != http.StatusOK {
					failed.Store(true)
				}
			})
		}
		group.Wait()
		if good++; failed.Load() {
			good = 0
		}
		if good >= 5 {
			return nil
		}
	}
	return errors.New("the deployment does not serve requests")
}

// stop ends all that the deployment has started, and removes its folder.
func (d *deployment) stop() {
	d.stopOnce.Do(func() {
		d.cancel()
		d.clients.Wait()
		for _, m := range d.machines {
			if m.cmd != nil {
				_ = m.cmd.Process.Kill()
				<-m.exited
			}
			if m.backend != nil {
				m.backend.crash()
			}
		}
		d.store.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(d.dir)
		} else {
			d.play.note("logs in %s", filepath.Base(d.dir))
		}
	})
}

// configText returns a configuration as the operator writes it.
func configText(version int, services []string, routes []route) []byte {
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	r := table{Columns: []string{"name", "host", "pathPrefix", "routeType", "timeoutS", "targetLatencyS", "priority", "service", "maxAttempts", "weightedClusters"}}
	for i, x := range routes {
		routeType := "safe"
		if x.unsafe {
			routeType = "unsafe"
		}
		r.Rows = append(r.Rows, []any{"r-" + x.host, x.host, "/", routeType, x.timeout.Seconds(), 1.0, i, x.service, x.attempts, nil})
	}
	s, known := table{Columns: []string{"name", "healthPath", "maxConnections", "protocol", "tls"}}, map[string]bool{}
	for _, name := range services {
		if !known[name] {
			known[name] = true
			s.Rows = append(s.Rows, []any{name, healthPath, 586, "h1", false})
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": r, "services": s,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	if err != nil {
		panic(err)
	}
	return text
}
