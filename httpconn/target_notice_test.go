package httpconn

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a limit that is misread: a number that is none must neither set a
// limit nor end one, and no text may take long to read.
func TestParseTargetNotice(t *testing.T) {
	names := HeaderNames{RateLimit: "X-Rate", Leaving: "X-Leaving"}
	for text, want := range map[string]TargetNotice{
		"17.5": {Limited: true, RatePerSecond: 17.5},
		" 20 ": {Limited: true, RatePerSecond: 20},
		"0.25": {Limited: true, RatePerSecond: 0.25},
		".5":   {Limited: true, RatePerSecond: 0.5},
		"0":    {Limited: true},
		"":     {RateUnreadable: true},
		"-1":   {RateUnreadable: true, InvalidRate: "-1"}, "+1": {RateUnreadable: true, InvalidRate: "+1"}, "nan": {RateUnreadable: true, InvalidRate: "nan"}, "Inf": {RateUnreadable: true, InvalidRate: "Inf"},
		"1e3": {RateUnreadable: true, InvalidRate: "1e3"}, "0x10": {RateUnreadable: true, InvalidRate: "0x10"}, "1_0": {RateUnreadable: true, InvalidRate: "1_0"}, "1,5": {RateUnreadable: true, InvalidRate: "1,5"},
		"1.2.3": {RateUnreadable: true, InvalidRate: "1.2.3"}, "many": {RateUnreadable: true, InvalidRate: "many"}, ".": {RateUnreadable: true, InvalidRate: "."},
		strings.Repeat("9", 1_000_000): {RateUnreadable: true, InvalidRate: strings.Repeat("9", maxRateDigits)},
	} {
		require.Equal(t, want, parseTargetNotice(http.Header{"X-Rate": {text}}, &names), "%.40q", text)
	}
	require.Equal(t, TargetNotice{}, parseTargetNotice(http.Header{}, &names))
	lowest := parseTargetNotice(http.Header{"X-Rate": {"9", "x", "3", "4"}}, &names)
	require.Equal(t, TargetNotice{Limited: true, RatePerSecond: 3, RateUnreadable: true, InvalidRate: "x"}, lowest)
	require.True(t, parseTargetNotice(http.Header{"X-Leaving": {"1"}}, &names).Leaving)
	require.False(t, parseTargetNotice(http.Header{"X-Leaving": {"0"}}, &names).Leaving)
}
