// Package strictjson decodes JSON with comments into structs and reports every
// fault at once: unknown, repeated, missing and mistyped fields, each with its
// path and line. encoding/json stops at the first fault and accepts field
// names in any case.
package strictjson

import (
	"bytes"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting; the parser below it is recursive.
const maxDepth = 64

// Document is a parsed text with the line of each field.
type Document struct {
	root  hujson.Value
	data  []byte
	lines map[string]int
}

// Parse reads JSON with comments and trailing commas. The error is a
// kind.FieldError that names the line of the syntax fault.
func Parse(data []byte) (*Document, error) {
	if depth(data) > maxDepth {
		return nil, kind.FieldError{Field: "text", Value: "deeply nested", Allowed: "JSON nested at most 64 levels deep"}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, kind.FieldError{Field: "text", Value: strings.TrimPrefix(err.Error(), "hujson: "), Allowed: "JSON, optionally with comments"}
	}
	return &Document{root: root, data: data, lines: map[string]int{"": 1}}, nil
}

// Line returns the line of the field with the given path, or that of its
// closest known parent. Paths are known after Decode.
func (d *Document) Line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// lineAt returns the line of the byte at offset, starting at 1.
func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

// depth returns how deeply the brackets outside strings and comments nest.
func depth(data []byte) int {
	level, deepest := 0, 0
	for i := 0; i < len(data); i++ {
		switch c := data[i]; c {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '/':
			i += skipComment(data[i:])
		case '{', '[':
			level++
			deepest = max(deepest, level)
		case '}', ']':
			level--
		}
	}
	return deepest
}

// skipComment returns the bytes to skip after the slash at the start of data.
func skipComment(data []byte) int {
	end := -1
	switch {
	case bytes.HasPrefix(data, []byte("//")):
		end = bytes.IndexByte(data, '\n')
	case bytes.HasPrefix(data, []byte("/*")):
		if end = bytes.Index(data[2:], []byte("*/")); end >= 0 {
			end += 3
		}
	default:
		return 0
	}
	if end < 0 {
		return len(data)
	}
	return end
}
