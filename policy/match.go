package policy

import (
	"slices"
	"strings"
)

// Match selects requests by method and path pattern.
type Match struct {
	// Methods lists HTTP methods; empty means any.
	Methods []string `json:"methods,omitempty"`
	// Path is a pattern: '*' matches one segment, a final '**' any remaining
	// segments.
	Path string `json:"path"`
}

// Matches reports whether m selects a request. path has no query.
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
		patternSegment, patternRest, patternMore := cutSegment(pattern)
		segment, pathRest, pathMore := cutSegment(path)
		if patternSegment != "*" && patternSegment != segment {
			return false
		}
		if patternSegment == "*" && segment == "" {
			return false
		}
		if !patternMore || !pathMore {
			return patternMore == pathMore
		}
		pattern, path = patternRest, pathRest
	}
}

// cutSegment splits "/a/b" into "a" and "/b"; more reports whether segments remain.
func cutSegment(path string) (segment, rest string, more bool) {
	path = strings.TrimPrefix(path, "/")
	if i := strings.IndexByte(path, '/'); i >= 0 {
		return path[:i], path[i:], true
	}
	return path, "", false
}
