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

// Line is a log line of a request.
type Line struct {
	At time.Time
	// Source is the name of the log and the prefix of the line in it, if any.
	Source  string
	Message string
	Fields  map[string]any
}

// parseLine parses a log line, which may have a prefix such as a time and the name
// of a node. It reports false if the line is not a valid log line.
func parseLine(source string, text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	message, _ := fields["@message"].(string)
	timestamp, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
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

// belongsTo reports whether a line is about the request or one of its sub-calls.
func (l Line) belongsTo(requestID string) bool {
	lineRequestID, _ := l.Fields["request_id"].(string)
	return lineRequestID == requestID || strings.HasPrefix(lineRequestID, requestID+".")
}

// String formats the line for display, with the request ID as the first field.
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
