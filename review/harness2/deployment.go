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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestsail/goldcrestsail/platform"
	"github.com/goldcrestsail/goldcrestsail/platform/storetest"
)

// The bounds are those of the site ths-central.
const (
	heartbeat   = 1500 * time.Millisecond
	graceTime   = 6 * time.Second
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	memoryMB    = 284
	firstPort   = 17620
	adminPort   = 9464
	// program is the node, as the deploy file builds it.
	program = "target/goldcrestsail"
)

// started holds the processes that have been started and have not ended.
var started = struct {
	sync.Mutex
	processes map[*os.Process]bool
}{processes: map[*os.Process]bool{}}

// killStarted kills the processes that are still running.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for p := range started.processes {
		_ = p.Kill()
	}
}

// deployment is a store, and a number of machines with a node and a backend each.
type deployment struct {
	record   *record
	dir      string
	store    *storetest.Store
	machines []*machine
}

// machine is a node of the project, as a process of its own, and the backend beside it.
type machine struct {
	d        *deployment
	name     string
	service  string
	ip       string
	settings platform.Settings
	path     string
	backend  *backend

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newDeployment starts the store, writes the first configuration, and creates count
// machines for each service. The machines alternate between two zones.
func newDeployment(rec *record, services []string, count int, routes []route) (*deployment, error) {
	return newDeploymentWithLimit(rec, services, count, routes, smallLimit)
}

// newDeploymentWithLimit is like newDeployment, with a value for maxBodyBytes.
func newDeploymentWithLimit(rec *record, services []string, count int, routes []route, maxBodyBytes int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "goldcrestsail-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, dir: dir, store: storetest.Start()}
	d.store.Put("keyed.op", "config", configText(1, services, routes, maxBodyBytes))
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	for _, service := range services {
		for i := range count {
			n := len(d.machines)
			m := &machine{d: d, name: fmt.Sprintf("%s-%d", service, i+1), service: service, ip: fmt.Sprintf("%s.%d", network, n+2)}
			at := func(offset int) string { return fmt.Sprintf("%s:%d", m.ip, firstPort+offset) }
			m.settings = platform.Settings{
				Instance: m.name, FailureDomain: fmt.Sprintf("zone-%d", n%2+1), Region: "region", IP: m.ip, Service: service,
				TargetAddress: at(10), CallerAddress: at(2), ReadyAddress: at(3), ReportAddress: at(4), FirstPort: firstPort, LastPort: firstPort + 1,
				AdminPort: adminPort, StoreAddress: d.store.Address(), ReportSeconds: heartbeat.Seconds(), GraceSeconds: graceTime.Seconds(),
				MemoryMB: memoryMB, BodyMemoryShare: 0.15, RetryRatio: 0.2, RetryWindowSeconds: 10, RetrySlack: 49, LogLevel: "info",
			}
			m.path = filepath.Join(dir, m.name+".json")
			if err := m.writeSettings(); err != nil {
				return nil, err
			}
			m.backend = &backend{m: m}
			d.machines = append(d.machines, m)
		}
	}
	return d, nil
}

// writeSettings writes the settings file of the node.
func (m *machine) writeSettings() error {
	text, err := json.Marshal(m.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(m.path, text, 0o600)
}

// freeNetwork returns the first three numbers of a loopback network whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.2:%d", network, firstPort))
		if err == nil {
			_ = l.Close()
			return network, nil
		}
	}
	return "", errors.New("no free loopback network")
}

// route is a row of the configuration.
type route struct {
	host, prefix, service string
	unsafe                bool
	timeoutS              float64
	maxAttempts           int
}

func configText(version int, services []string, routes []route, maxBodyBytes int) []byte {
	var rows, list []string
	for i, r := range routes {
		kind := map[bool]string{true: "unsafe", false: "safe"}[r.unsafe]
		rows = append(rows, fmt.Sprintf(`["r%d","%s","%s","%s",%g,0.5,%d,"%s",%d]`, i, r.host, r.prefix, kind, r.timeoutS, i, r.service, r.maxAttempts))
	}
	for _, s := range services {
		list = append(list, fmt.Sprintf(`["%s","/health",1120]`, s))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":{"columns":["name","host","pathPrefix","routeType","timeoutS","targetLatencyS","priority","service","maxAttempts"],"rows":[%s]},"services":{"columns":["name","healthPath","maxConnections"],"rows":[%s]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutS":3,"idleTimeoutS":15}}`,
		version, strings.Join(rows, ","), strings.Join(list, ","), maxBodyBytes)
}

// start starts all backends and nodes and waits until each node is ready and each
// backend has been accepted.
func (d *deployment) start() error {
	for _, m := range d.machines {
		if err := m.backend.start(); err != nil {
			return err
		}
		if err := m.startNode(); err != nil {
			return err
		}
	}
	return d.await(20 * time.Second)
}

// await waits until each node is ready and has acknowledged a report of its backend.
func (d *deployment) await(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		waiting := ""
		for _, m := range d.machines {
			if !m.ready() || !m.backend.accepted() {
				waiting = m.name
			}
		}
		if waiting == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready", waiting)
		}
	}
}

// stop ends all processes that the deployment has started.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.killNode()
		m.backend.stop()
	}
	d.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// ready asks the node what the platform asks once a second.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + m.settings.ReadyAddress + "/goldcrestsail/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() error {
	log, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "platform-node")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+m.path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	started.Lock()
	started.processes[cmd.Process] = true
	started.Unlock()
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		started.Lock()
		delete(started.processes, cmd.Process)
		started.Unlock()
		_ = log.Close()
		close(done)
	}()
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	m.d.record.line("node of %s started, process %d", m.name, cmd.Process.Pid)
	return nil
}

// killNode sends SIGKILL and waits for the end.
func (m *machine) killNode() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
	m.d.record.line("node of %s killed", m.name)
}

// killAll kills all nodes at the same moment, and starts them again after a pause.
func (d *deployment) killAll(pause time.Duration) error {
	var all sync.WaitGroup
	for _, m := range d.machines {
		all.Go(m.killNode)
	}
	all.Wait()
	time.Sleep(pause)
	for _, m := range d.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	return nil
}
