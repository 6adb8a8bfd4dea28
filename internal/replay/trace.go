package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Trace is a recorded trace: a head line and event lines, one JSON value each.
type Trace struct {
	Head   Head
	Events []Event
}

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// Load reads a trace from a file. The error names the line.
func Load(path string) (*Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, kind.Class.Wrap(err)
	}
	t := &Trace{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		var into any = &t.Head
		if n > 1 {
			t.Events = append(t.Events, Event{})
			into = &t.Events[len(t.Events)-1]
		}
		decoder := json.NewDecoder(strings.NewReader(line))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(into); err != nil {
			return nil, kind.Class.New("%s:%d: %v", path, n, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, kind.Class.Wrap(err)
	}
	if err := t.check(); err != nil {
		return nil, kind.Class.New("%s: %v", path, err)
	}
	return t, nil
}

// check returns the first fault that would make the replay meaningless.
func (t *Trace) check() error {
	for _, o := range t.Head.Operations {
		if t.Head.service(o.Service) == nil {
			return fmt.Errorf("operation %s: no service %q", o.Name, o.Service)
		}
		for _, c := range o.Calls {
			if t.Head.operation(c) == nil {
				return fmt.Errorf("operation %s: no operation %q to call", o.Name, c)
			}
		}
	}
	for i, e := range t.Events {
		if e.Arrivals != nil && e.Until <= e.At {
			return fmt.Errorf("event %d: arrivals end before they begin", i+1)
		}
		for name := range e.Mix {
			if t.Head.operation(name) == nil {
				return fmt.Errorf("event %d: no operation %q", i+1, name)
			}
		}
		if e.Method != "" && t.Head.find(e.Service, e.Method, e.Path) == nil {
			return fmt.Errorf("event %d: no operation for %s %s of %s", i+1, e.Method, e.Path, e.Service)
		}
		switch e.Fault {
		case "", FaultSlow, FaultLogDown, FaultSilent, FaultDrain, FaultRestart, FaultLoseResponses, FaultLie:
		default:
			return fmt.Errorf("event %d: unknown fault %q", i+1, e.Fault)
		}
	}
	return nil
}
