package processtest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/link"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
)

// retryAllowance is the retry allowance of both services.
const retryAllowance = 2

// slots is the number of requests that a target serves concurrently.
const slots = 8

// maxProcesses bounds the processes of all tests that run in parallel.
const maxProcesses = 60

// spareProcesses bounds the processes that a cluster runs beyond its initial ones:
// replacements and commands.
const spareProcesses = 3

var processBudget = semaphore.NewWeighted(maxProcesses)

// cluster is a log service, nodes and targets, each a process of its own, with a
// ledger in the test process.
type cluster struct {
	t          *testing.T
	dir        string
	log        *process
	logAddress string
	ledger     *ledger
	ledgerURL  string
	client     *http.Client

	// timeoutMS and queueTimeoutMS are the timeouts set in the policies.
	timeoutMS, queueTimeoutMS int

	mu       sync.Mutex
	members  []*member
	lastNode int
}

// member is a node, the target beside it, and the links of both.
type member struct {
	service                               string
	node, target                          *process
	id, caller, targetSide, gossip, admin string
	targetAddress                         string
	logLink, targetLink                   *link.Link
	// excluded keeps callers from using the node.
	excluded bool
}

// newCluster starts a log service, and members of the given services.
func newCluster(t *testing.T, services ...string) *cluster {
	t.Helper()
	processes := int64(1 + 2*len(services) + spareProcesses)
	require.NoError(t, processBudget.Acquire(t.Context(), processes))
	t.Cleanup(func() { processBudget.Release(processes) })
	c := &cluster{t: t, timeoutMS: 4000, queueTimeoutMS: 1000, dir: t.TempDir(), ledger: newLedger(), client: &http.Client{
		Timeout: 10 * time.Second,
		// A new connection per request keeps http.Transport from repeating a request by
		// itself, which the ledger would count as an additional start.
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
	server := httptest.NewServer(c.ledger)
	t.Cleanup(server.Close)
	c.ledgerURL = server.URL
	c.startLog(t)
	for _, s := range services {
		m := c.startNode(t, s)
		c.startTarget(t, m)
	}
	t.Cleanup(func() {
		if t.Failed() {
			c.logState(t)
		}
	})
	return c
}

// logState logs the state dumps of all nodes.
func (c *cluster) logState(t *testing.T) {
	c.client.Timeout = 2 * time.Second
	for _, m := range c.entryNodes() {
		for _, section := range []string{"queue", "limit", "chains", "claims", "routes"} {
			t.Logf("%s: %s", m.node.name, strings.Join(strings.Fields(c.get(m, "/dump?section="+section)), " "))
		}
	}
}

// startLog starts the log service on the records of an earlier one, if any.
func (c *cluster) startLog(t *testing.T) {
	t.Helper()
	c.log = startProcess(t, "log", "standin", "log", "--listen", "127.0.0.1:0", "--file", filepath.Join(c.dir, "records"))
	c.logAddress = c.log.waitLine(t, "listening")["address"].(string)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		m.logLink.Redirect(c.logAddress)
	}
}

func (c *cluster) logURL() string { return "http://" + c.logAddress }

// setFaults sets the faults of the log service.
func (c *cluster) setFaults(t *testing.T, f logstore.Faults) {
	t.Helper()
	body, err := json.Marshal(f)
	require.NoError(t, err)
	response, err := c.client.Post(c.logURL()+"/control", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// counters returns the counters of a stream of the log service.
func (c *cluster) counters(t *testing.T, stream string) logstore.Counters {
	t.Helper()
	var status logstore.Status
	response, err := c.client.Get(c.logURL() + "/control")
	require.NoError(t, err)
	defer response.Body.Close()
	require.NoError(t, json.NewDecoder(response.Body).Decode(&status))
	return status.Streams[stream]
}

// startNode starts a node with a link of its own to the log service.
func (c *cluster) startNode(t *testing.T, service string) *member {
	t.Helper()
	logLink, err := link.New(c.logAddress)
	require.NoError(t, err)
	t.Cleanup(logLink.Close)
	m := &member{service: service, logLink: logLink}
	c.mu.Lock()
	c.lastNode++
	name := fmt.Sprintf("node-%d-%s", c.lastNode, service)
	seeds := []string{}
	for _, other := range c.members {
		seeds = append(seeds, other.gossip)
	}
	c.mu.Unlock()
	settings, err := json.Marshal(map[string]any{
		"addresses": map[string]string{"caller": "127.0.0.1:0", "target_side": "127.0.0.1:0", "peer": "127.0.0.1:0", "gossip": "127.0.0.1:0", "admin": "127.0.0.1:0"},
		"region":    "region", "failure_domain": "domain", "log_url": "http://" + logLink.Address(), "seeds": seeds,
	})
	require.NoError(t, err)
	file := filepath.Join(c.dir, name+".json")
	require.NoError(t, os.WriteFile(file, settings, 0o600))
	m.node = startProcess(t, name, "goldcrestsail", "node", "--settings", file)
	m.admin = m.node.waitLine(t, "node started")["admin"].(string)
	var dump struct {
		Node struct {
			ID         string
			Caller     string
			TargetSide string `json:"target_side"`
			Gossip     string
		}
	}
	require.NoError(t, json.Unmarshal([]byte(c.dump(t, m, "node")), &dump))
	m.id, m.caller, m.targetSide, m.gossip = dump.Node.ID, dump.Node.Caller, dump.Node.TargetSide, dump.Node.Gossip
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = append(c.members, m)
	return m
}

// startTarget starts a target beside a node, reached through a new link.
func (c *cluster) startTarget(t *testing.T, m *member) {
	t.Helper()
	targetLink, err := link.New("")
	require.NoError(t, err)
	t.Cleanup(targetLink.Close)
	// Connections wait until the link knows the address of the target.
	release := targetLink.HoldNewConnections()
	args := []string{"target", "--service", m.service + ".acme", "--node", m.targetSide, "--announce", targetLink.Address(),
		"--ledger", c.ledgerURL, "--slots", strconv.Itoa(slots), "--service-time", "5ms"}
	if m.service == "front" {
		args = append(args, "--call", "back.acme/stock")
	}
	p := startProcess(t, "target of "+m.node.name, "standin", args...)
	at := p.waitLine(t, "listening")["address"].(string)
	targetLink.Redirect(at)
	release()
	c.mu.Lock()
	defer c.mu.Unlock()
	m.target, m.targetLink, m.targetAddress = p, targetLink, at
}

// killTarget kills a target; its address refuses connections afterwards.
func (m *member) killTarget() {
	m.target.kill()
	m.targetLink.Close()
}

// remove removes a member whose node has ended from the cluster.
func (c *cluster) remove(m *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.members {
		if other == m {
			c.members = append(c.members[:i:i], c.members[i+1:]...)
			return
		}
	}
}

func (c *cluster) setExcluded(m *member, excluded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.excluded = excluded
}

// entryNodes returns the members whose nodes callers may use.
func (c *cluster) entryNodes() []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []*member
	for _, m := range c.members {
		if !m.excluded {
			entries = append(entries, m)
		}
	}
	return entries
}

// membersOf returns the members of a service that callers may use.
func (c *cluster) membersOf(service string) []*member {
	var members []*member
	for _, m := range c.entryNodes() {
		if m.service == service {
			members = append(members, m)
		}
	}
	return members
}

// runCommand runs a command of goldcrestsail and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	cmd := exec.Command(filepath.Join(binaryDir, "goldcrestsail"), args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		var exit *exec.ExitError
		require.True(t, errors.As(err, &exit), "%v", err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errs.String()
}

// dump runs "goldcrestsail dump" for one section.
func (c *cluster) dump(t *testing.T, m *member, section string) string {
	t.Helper()
	code, out, errs := runCommand(t, "dump", "--node", m.admin, "--section", section)
	require.Zero(t, code, errs)
	return out
}

// policyFile writes a file with a policy change of a service and returns its path.
func (c *cluster) policyFile(t *testing.T, name, service string, schema, base, slots int) string {
	t.Helper()
	policy := map[string]any{
		"slots": slots, "connections": 32, "retry_allowance": retryAllowance,
		"classes": []map[string]any{
			{"name": "pay", "importance": 0, "non_idempotent": true, "timeout_ms": c.timeoutMS, "match": []map[string]any{{"methods": []string{"POST"}, "path": "/pay/**"}}},
			{"name": "read", "importance": 5, "retryable": true, "timeout_ms": c.timeoutMS, "match": []map[string]any{{"path": "/**"}}},
		},
	}
	if schema == 2 {
		policy["cold_start_ms"], policy["queue_timeout_ms"] = 1, c.queueTimeoutMS
	}
	data, err := json.Marshal(map[string]any{
		"schema": schema, "customer": "acme", "service": service, "base": base, "op": "put", "author": name, "policy": policy,
	})
	require.NoError(t, err)
	file := filepath.Join(c.dir, name+".json")
	require.NoError(t, os.WriteFile(file, data, 0o600))
	return file
}

// publish runs "goldcrestsail config publish".
func (c *cluster) publish(t *testing.T, files ...string) (code int, stdout, stderr string) {
	t.Helper()
	return runCommand(t, append(append([]string{"config", "publish"}, files...), "--log", c.logURL())...)
}

// publishBoth publishes the initial policies of both services and waits until
// every node and target serves requests.
func (c *cluster) publishBoth(t *testing.T) {
	t.Helper()
	code, _, errs := c.publish(t, c.policyFile(t, "front", "front", 2, 0, slots), c.policyFile(t, "back", "back", 2, 0, slots))
	require.Zero(t, code, errs)
	c.waitServing(t)
}

// waitServing waits until every entry node serves reads and every target receives
// requests.
func (c *cluster) waitServing(t *testing.T) {
	t.Helper()
	since := time.Now()
	for _, m := range c.entryNodes() {
		waitFor(t, m.node.name+" to serve and its target to receive requests", func() bool {
			// Sequential requests would always go to the target that routing
			// ranks first; concurrent ones reach all targets.
			var served atomic.Bool
			var probes sync.WaitGroup
			for _, entry := range c.entryNodes() {
				for range slots {
					probes.Go(func() {
						if c.send(entry, http.MethodGet, "/probe/"+newID(), newID(), "").status == http.StatusOK && entry == m {
							served.Store(true)
						}
					})
				}
			}
			probes.Wait()
			return served.Load() && c.ledger.count(func(s start) bool { return s.target == m.targetAddress && s.at.After(since) }) > 0
		})
	}
}

// get returns the response body of a path at a node's admin address, or an empty
// string on failure.
func (c *cluster) get(m *member, path string) string {
	response, err := c.client.Get("http://" + m.admin + path)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// metric returns the value of the first series of a node whose line has the
// given prefix, or an empty string.
func (c *cluster) metric(m *member, prefix string) string {
	for line := range strings.Lines(c.get(m, "/metrics")) {
		if strings.HasPrefix(line, prefix) {
			return strings.TrimSpace(line[strings.LastIndex(line, " "):])
		}
	}
	return ""
}
