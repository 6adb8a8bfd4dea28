package httpconn

import (
	"net/http"
	"strconv"
	"strings"
)

// TargetNotice is what a target announces about itself in a response.
type TargetNotice struct {
	// Leaving reports that the target is about to leave.
	Leaving bool
	// Limited reports that the target takes only RatePerSecond requests per second
	// from all nodes together.
	Limited       bool
	RatePerSecond float64
	// RateUnreadable reports that the response names a rate that cannot be read, which
	// neither sets nor ends a limit. InvalidRate is the beginning of that text.
	RateUnreadable bool
	InvalidRate    string
}

const (
	// maxRateDigits bounds the text of a rate.
	maxRateDigits = 32
	// leavingValue is the value of the field of a target that is about to leave.
	leavingValue = "1"
)

// parseTargetNotice reads the notice from the fields of a response. Of several rates
// the lowest holds.
func parseTargetNotice(h http.Header, names *HeaderNames) (n TargetNotice) {
	n.Leaving = strings.TrimSpace(h.Get(names.Leaving)) == leavingValue
	for _, text := range h[names.RateLimit] {
		rate, ok := parseRate(strings.TrimSpace(text))
		switch {
		case !ok:
			n.RateUnreadable, n.InvalidRate = true, text[:min(len(text), maxRateDigits)]
		case !n.Limited || rate < n.RatePerSecond:
			n.Limited, n.RatePerSecond = true, rate
		}
	}
	return n
}

// parseRate parses a decimal number without sign or exponent.
func parseRate(text string) (float64, bool) {
	if len(text) > maxRateDigits || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	rate, err := strconv.ParseFloat(text, 64)
	return rate, err == nil
}
