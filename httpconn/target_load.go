package httpconn

import (
	"strconv"
	"strings"
)

// TargetLoad is what a target says about its own load.
type TargetLoad struct{ Running, Waiting, Slots int }

// parseTargetLoad parses three counts; it returns nil for anything else.
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
