// Package settings reads the settings of a node process: its addresses, its
// location and the log service, as JSON with comments. Policies are not part of
// the settings; operators publish them.
package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/strictjson"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/hashicorp/go-hclog"
)

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 64 << 10

// DefaultLogRetention is the retention of the log service if the settings do
// not state one.
const DefaultLogRetention = 24 * time.Hour

// Settings are the validated settings of a node.
type Settings struct {
	Addresses Addresses
	// Region and FailureDomain are the location of the instance.
	Region        string
	FailureDomain string
	// LogURL is the base URL of the log service.
	LogURL string
	// LogRetention is how long the log service keeps records.
	LogRetention time.Duration
	// Seeds are gossip addresses of nodes to contact first. They may include
	// the node's own, so that all nodes can share one list.
	Seeds []netip.AddrPort
	// Target describes the local target, or is nil if the target announces
	// itself.
	Target *Target
	// LogLevel is the minimum level that is logged.
	LogLevel hclog.Level
}

// Load reads and validates a settings file. The error has kind settings-invalid
// and lists every fault with its field and line.
func Load(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, kind.New(kind.SettingsInvalid, err.Error())
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, kind.New(kind.SettingsInvalid, err.Error())
	}
	s, err := Parse(data)
	if err != nil {
		e := kind.Of(err)
		e.Detail = path
		return nil, e
	}
	return s, nil
}

// Parse parses and validates the text of a settings file, like Load.
func Parse(data []byte) (*Settings, error) {
	invalid := kind.New(kind.SettingsInvalid, "settings")
	if len(data) > maxFileBytes {
		invalid.Fields = []kind.FieldError{{Field: "text", Value: "larger", Allowed: fmt.Sprintf("at most %d bytes", maxFileBytes)}}
		return nil, invalid
	}
	doc, err := strictjson.Parse(data)
	if err != nil {
		invalid.Detail = err.Error()
		return nil, invalid
	}
	var f settingsFile
	faults := doc.Decode(&f)
	c := &checker{undecoded: map[string]bool{}}
	for _, fault := range faults {
		c.undecoded[fault.Field] = true
	}
	s := c.settings(&f)
	faults = append(faults, c.faults...)
	if len(faults) == 0 {
		return s, nil
	}
	slices.SortStableFunc(faults, func(a, b kind.FieldError) int { return doc.Line(a.Field) - doc.Line(b.Field) })
	for i := range faults {
		faults[i].Field = fmt.Sprintf("%s (line %d)", faults[i].Field, doc.Line(faults[i].Field))
	}
	invalid.Fields = faults
	return nil, invalid
}
