package kind

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Markdown returns the table from kind to answer as it stands in
// docs/call-contract.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| kind | status | retry | run state | retry after | what the caller should do |\n|---|---|---|---|---|---|\n")
	for _, k := range slices.Sorted(maps.Keys(Table)) {
		a := Table[k]
		retry, after := "no", "-"
		if a.Retry {
			retry = "yes"
		}
		if a.RetryAfter > 0 {
			after = a.RetryAfter.String()
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s | %s |\n", k, a.Status, retry, a.Run, after, a.Advice)
	}
	return b.String()
}
