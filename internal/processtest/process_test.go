package processtest

import (
	"bufio"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitLimit bounds every wait for a condition. It is far above the time that any
// condition needs, so that a busy machine does not fail a test.
const waitLimit = 45 * time.Second

// process is a running program and the log lines it has written.
type process struct {
	name    string
	cmd     *exec.Cmd
	done    chan struct{}
	mu      sync.Mutex
	entries []map[string]any
	lines   []string
}

// startProcess runs a built program until the test ends.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaryDir, program), args...), done: make(chan struct{})}
	stderr, err := p.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(stderr)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.addLine(lines.Text())
		}
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("last log lines of %s (%d):\n%s", p.name, p.cmd.Process.Pid, strings.Join(p.lines[max(0, len(p.lines)-15):], "\n"))
		}
	})
	return p
}

func (p *process) addLine(line string) {
	fields := map[string]any{}
	_ = json.Unmarshal([]byte(line), &fields)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, fields)
	p.lines = append(p.lines, line)
}

// entry returns the first log line with the given message, or nil.
func (p *process) entry(message string) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.entries {
		if l["@message"] == message {
			return l
		}
	}
	return nil
}

// waitLine waits for a log line with the given message.
func (p *process) waitLine(t *testing.T, message string) map[string]any {
	t.Helper()
	waitFor(t, p.name+" to log "+message, func() bool { return p.entry(message) != nil })
	return p.entry(message)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL, which also ends a stopped one, and waits for
// its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// waitExit waits for the process to exit and returns its exit code.
func (p *process) waitExit(t *testing.T) int {
	t.Helper()
	waitFor(t, p.name+" to end", func() bool {
		select {
		case <-p.done:
			return true
		default:
			return false
		}
	})
	return p.cmd.ProcessState.ExitCode()
}

// waitFor polls a condition and fails the test if it does not hold within
// waitLimit.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v for %s", waitLimit, what)
		}
	}
}
