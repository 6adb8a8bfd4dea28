package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/tailscale/hujson"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
)

// processNodes are the numbers of node processes measured at rest.
var processNodes = []int{1, 4, 8}

// measureProcesses prints the resident memory and processor time of node
// processes without load.
func measureProcesses(out io.Writer, binary, settings string) error {
	t := table{title: "Node processes at rest, no target and no load", header: []string{
		"processes", "resident memory (MB), mean", "resident memory (MB), largest", "processor time, % of a core, mean", "threads, mean"}}
	for _, n := range processNodes {
		if err := processPoint(&t, n, binary, settings); err != nil {
			return err
		}
	}
	t.print(out)
	return nil
}

func processPoint(t *table, n int, binary, settings string) error {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: logstore.New(logstore.Options{}).Handler()}
	go server.Serve(listener)
	defer server.Close()
	var processes []*exec.Cmd
	defer func() {
		for _, p := range processes {
			endProcess(p)
		}
	}()
	seed := ""
	for i := range n {
		path := filepath.Join(dir, fmt.Sprintf("node-%d.json", i))
		gossip, err := writeSettings(settings, path, "http://"+listener.Addr().String(), seed)
		if err != nil {
			return err
		}
		if seed == "" {
			seed = gossip
		}
		p := exec.Command(binary, "node", "--settings", path)
		if err := p.Start(); err != nil {
			return err
		}
		processes = append(processes, p)
	}
	time.Sleep(5 * time.Second)
	before := make([]time.Duration, n)
	for i, p := range processes {
		if before[i], err = processorTimeOf(p.Process.Pid); err != nil {
			return err
		}
	}
	start := time.Now()
	time.Sleep(idleWindow)
	var share, memory, largest, threads float64
	for i, p := range processes {
		after, err := processorTimeOf(p.Process.Pid)
		if err != nil {
			return err
		}
		status, err := statusOf(p.Process.Pid)
		if err != nil {
			return err
		}
		mb := status["VmRSS"] / 1024
		share += 100 * (after - before[i]).Seconds() / time.Since(start).Seconds() / float64(n)
		memory += mb / float64(n)
		largest = max(largest, mb)
		threads += status["Threads"] / float64(n)
	}
	t.add(fmt.Sprint(n), fmt.Sprintf("%.1f", memory), fmt.Sprintf("%.1f", largest), fmt.Sprintf("%.2f", share), fmt.Sprintf("%.0f", threads))
	return nil
}

// writeSettings writes the settings with free ports, the log and the seed, and
// returns the gossip address. An empty seed stands for the node itself.
func writeSettings(from, to, log, seed string) (gossip string, err error) {
	data, err := os.ReadFile(from)
	if err != nil {
		return "", err
	}
	if data, err = hujson.Standardize(data); err != nil {
		return "", err
	}
	var s map[string]any
	if err := json.Unmarshal(data, &s); err != nil {
		return "", err
	}
	addresses := map[string]string{}
	for _, name := range []string{"caller", "target_side", "peer", "gossip", "admin"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer l.Close()
		addresses[name] = l.Addr().String()
	}
	if seed == "" {
		seed = addresses["gossip"]
	}
	s["addresses"], s["log_url"], s["seeds"] = addresses, log, []string{seed}
	if data, err = json.Marshal(s); err != nil {
		return "", err
	}
	return addresses["gossip"], os.WriteFile(to, data, 0o600)
}

// endProcess ends a process that this command started.
func endProcess(p *exec.Cmd) {
	_ = p.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(15*time.Second, func() { _ = p.Process.Kill() })
	defer timer.Stop()
	_ = p.Wait()
}

// processorTimeOf returns the user and system time of a process. The kernel
// counts in ticks of 10 ms.
func processorTimeOf(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("unexpected process state of %d", pid)
	}
	user, err := strconv.Atoi(f[11])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond, err
}

// statusOf returns the numeric fields of a process's status, sizes in KB.
func statusOf(pid int) (map[string]float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return nil, err
	}
	fields := map[string]float64{}
	for _, line := range strings.Split(string(data), "\n") {
		name, text, _ := strings.Cut(line, ":")
		if number := strings.Fields(text); len(number) > 0 {
			if v, err := strconv.ParseFloat(number[0], 64); err == nil {
				fields[name] = v
			}
		}
	}
	return fields, nil
}
