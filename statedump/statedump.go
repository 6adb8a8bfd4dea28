// Package statedump serves the internal state of a process as JSON.
package statedump

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Select returns the section of a state that a request names in the query
// parameter "section", or the whole state if there is none. The error has kind
// malformed and lists the sections.
func Select(r *http.Request, state map[string]any) (map[string]any, *kind.Error) {
	name := r.URL.Query().Get("section")
	if name == "" {
		return state, nil
	}
	section, ok := state[name]
	if !ok {
		sections := strings.Join(slices.Sorted(maps.Keys(state)), ", ")
		return nil, kind.Newf(kind.Malformed, "section %q is not one of %s", name, sections)
	}
	return map[string]any{name: section}, nil
}

// Write sends a state as indented JSON.
func Write(w http.ResponseWriter, state map[string]any) error {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(state)
}
