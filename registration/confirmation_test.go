package registration

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a started node that trusts a report which may be late, asks a target
// that has not repeated its report, or waits for ever for one that cannot be asked or is
// well and says that it is not.
func TestConfirmation(t *testing.T) {
	first, second := readyReport("a", 1, 7), readyReport("a", 1, 8)
	for name, c := range map[string]struct {
		reports   []Report
		answers   []Health
		confirmed bool
	}{
		"single report":                    {[]Report{first}, []Health{Healthy}, false},
		"same report twice":                {[]Report{first, first}, []Health{Healthy}, false},
		"older report after it":            {[]Report{second, first}, []Health{Healthy}, false},
		"repeated, not asked":              {[]Report{first, second}, nil, false},
		"repeated, healthy":                {[]Report{first, second}, []Health{Healthy}, true},
		"repeated, leaving":                {[]Report{first, second}, []Health{Unhealthy, Unhealthy, Unhealthy, Unhealthy}, false},
		"healthy later":                    {[]Report{first, second}, []Health{Unhealthy, HealthUnknown, Healthy}, true},
		"no statement":                     {[]Report{first, second}, []Health{HealthUnknown, HealthUnknown, HealthUnknown}, true},
		"no statement yet":                 {[]Report{first, second}, []Health{HealthUnknown, HealthUnknown}, false},
		"late reports of an earlier one":   {[]Report{readyReport("b", 3, 1), first, second}, []Health{Healthy}, false},
		"earlier one between its reports":  {[]Report{readyReport("b", 3, 1), first, readyReport("b", 3, 2)}, []Health{Healthy}, true},
		"next process has reported once":   {[]Report{first, second, readyReport("b", 3, 1)}, []Health{Healthy}, false},
		"next process has reported twice":  {[]Report{first, second, readyReport("a", 3, 1), readyReport("a", 3, 2)}, []Health{Healthy}, true},
		"counts of two processes are told": {[]Report{first, readyReport("a", 2, 9)}, []Health{Healthy}, false},
	} {
		t.Run(name, func(t *testing.T) {
			confirmation := NewConfirmation(at(0))
			for _, r := range c.reports {
				confirmation.Report(at(1), r)
			}
			for _, h := range c.answers {
				pending, _ := confirmation.Pending()
				confirmation.Answer(pending, h)
			}
			require.Equal(t, c.confirmed, confirmation.Confirmed())
		})
	}
	confirmation := NewConfirmation(at(0))
	require.False(t, confirmation.Report(at(1), first))
	require.True(t, confirmation.Report(at(1), second))
	_, confirmed := confirmation.Answer(readyReport("b", 0, 1), Healthy)
	require.False(t, confirmed, "the answer is about another process")
	confirmation.Answer(second, Unhealthy)
	require.True(t, confirmation.Report(at(60), readyReport("a", 1, 9)))
	require.True(t, confirmation.Confirmed(), "its health check is wrong: the report was sent after the start")
	confirmation = NewConfirmation(at(0))
	confirmation.Report(at(60), first)
	require.False(t, confirmation.Confirmed(), "reported once")
}
