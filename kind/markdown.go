package kind

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Markdown returns Responses as the Markdown table in docs/call-contract.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| kind | status | retry | run state | retry after | what the caller should do |\n|---|---|---|---|---|---|\n")
	for _, k := range slices.Sorted(maps.Keys(Responses)) {
		r := Responses[k]
		retryable, retryAfter := "no", "-"
		if r.Retryable {
			retryable = "yes"
		}
		if r.RetryAfter > 0 {
			retryAfter = r.RetryAfter.String()
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s | %s |\n", k, r.Status, retryable, r.Run, retryAfter, r.Advice)
	}
	return b.String()
}
