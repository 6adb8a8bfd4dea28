package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line about a request.
type Line struct {
	At time.Time
	// Source names the file, and what stands before the line in it.
	Source  string
	Message string
	Fields  map[string]any
}

// parse reads a log line, which may stand behind a prefix such as a time and
// the name of a node. It reports false for lines of another form.
func parse(source string, text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	message, _ := fields["@message"].(string)
	stamp, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if message == "" || err != nil {
		return Line{}, false
	}
	if prefix := strings.TrimSpace(string(text[:start])); prefix != "" {
		source += " " + prefix
	}
	for _, name := range []string{"@message", "@timestamp", "@level", "@module"} {
		delete(fields, name)
	}
	return Line{At: at, Source: source, Message: message, Fields: fields}, true
}

// concerns reports whether a line is about a request or one of its sub-calls.
func (l Line) concerns(id string) bool {
	own, _ := l.Fields["request_id"].(string)
	return own == id || strings.HasPrefix(own, id+".")
}

// String returns the line for a reader, the request first.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s\n    request_id=%v", l.At.Format("15:04:05.000000"), l.Source, l.Message, l.Fields["request_id"])
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "request_id" {
			fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
		}
	}
	return b.String()
}
