package chainhttp

import (
	"strconv"
	"time"
)

// MaxTimeout is the longest Request-Timeout that is accepted.
const MaxTimeout = 10 * time.Minute

// FormatTimeout returns d as a Request-Timeout value in whole milliseconds.
// A positive duration below one millisecond becomes 1.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// ParseTimeout parses a Request-Timeout value in milliseconds. ok is false if the
// value is empty, malformed or out of range.
func ParseTimeout(s string) (d time.Duration, ok bool) {
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < 1 || ms > MaxTimeout.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
