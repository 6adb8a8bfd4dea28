package policy

import (
	"slices"
	"strings"
)

// Match selects requests by method and path pattern.
type Match struct {
	// Methods lists HTTP methods; empty means any.
	Methods []string `json:"methods,omitempty"`
	// Path is a pattern: '*' stands for one segment, a final '**' for any rest.
	Path string `json:"path"`
}

// Matches reports whether a request is selected. path has no query.
func (m *Match) Matches(method, path string) bool {
	if len(m.Methods) > 0 && !slices.Contains(m.Methods, method) {
		return false
	}
	return matchPath(m.Path, path)
}

func matchPath(pattern, path string) bool {
	for {
		if pattern == "/**" {
			return true
		}
		wantSegment, wantRest, wantMore := cutSegment(pattern)
		segment, rest, more := cutSegment(path)
		if wantSegment != "*" && wantSegment != segment {
			return false
		}
		if wantSegment == "*" && segment == "" {
			return false
		}
		if !wantMore || !more {
			return wantMore == more
		}
		pattern, path = wantRest, rest
	}
}

// cutSegment splits "/a/b" into "a" and "/b"; more reports whether a rest follows.
func cutSegment(path string) (segment, rest string, more bool) {
	path = strings.TrimPrefix(path, "/")
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:], true
	}
	return path, "", false
}
