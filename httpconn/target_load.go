package httpconn

import (
	"strconv"
	"strings"
)

// TargetLoad is the load that a target reports in a response.
type TargetLoad struct{ Running, Waiting, Slots int }

// parseTargetLoad parses three comma-separated counts; it returns nil if text is
// malformed.
func parseTargetLoad(text string) *TargetLoad {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil
	}
	var counts [3]int
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return nil
		}
		counts[i] = n
	}
	return &TargetLoad{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
}
