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

// limit bounds every wait for a state. It is far above what any state needs,
// so that a busy machine does not change a verdict.
const limit = 45 * time.Second

// process is a running program whose log lines are kept.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	logs []map[string]any
	text []string
}

// startProcess runs a built program until the test ends.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(programs, program), args...), done: make(chan struct{})}
	stderr, err := p.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(stderr)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.add(lines.Text())
		}
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("last log lines of %s (%d):\n%s", p.name, p.cmd.Process.Pid, strings.Join(p.text[max(0, len(p.text)-15):], "\n"))
		}
	})
	return p
}

func (p *process) add(line string) {
	fields := map[string]any{}
	_ = json.Unmarshal([]byte(line), &fields)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logs = append(p.logs, fields)
	p.text = append(p.text, line)
}

// line returns the first log line with the given message, or nil.
func (p *process) line(message string) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.logs {
		if l["@message"] == message {
			return l
		}
	}
	return nil
}

// waitLine waits for a log line with the given message.
func (p *process) waitLine(t *testing.T, message string) map[string]any {
	t.Helper()
	waitFor(t, p.name+" to log "+message, func() bool { return p.line(message) != nil })
	return p.line(message)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process, frozen or not, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// waitExit waits for the end of the process and returns its exit code.
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

// waitFor polls for a state and fails the test when it does not come.
func waitFor(t *testing.T, what string, state func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !state(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v for %s", limit, what)
		}
	}
}
