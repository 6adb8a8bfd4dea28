package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validPolicy() *Policy {
	p := &Policy{
		Name: ServiceName{Customer: "qureshi", Service: "paydesk"}, Slots: 70, Connections: 500,
		Classes: []Class{
			{Name: "payout", Importance: 0, Match: []Match{{Methods: []string{"POST"}, Path: "/payouts/*/confirm"}}, NonIdempotent: true, Timeout: time.Second},
			{Name: "read", Importance: 5, Match: []Match{{Path: "/payouts/**"}}, Retryable: true, Timeout: time.Second},
		},
	}
	p.ApplyDefaults()
	return p
}

func TestClassifyReturnsFirstMatch(t *testing.T) {
	p := validPolicy()
	for _, c := range []struct{ method, path, want string }{
		{"POST", "/payouts/17/confirm", "payout"},
		{"GET", "/payouts/17/confirm", "read"},
		{"POST", "/payouts/17/confirm/x", "read"},
		{"POST", "/payouts//confirm", "read"},
		{"GET", "/payouts", ""},
		{"GET", "/", ""},
	} {
		got := p.Classify(c.method, c.path)
		if c.want == "" {
			require.Nil(t, got, "%s %s", c.method, c.path)
			continue
		}
		require.NotNil(t, got, "%s %s", c.method, c.path)
		require.Equal(t, c.want, got.Name, "%s %s", c.method, c.path)
	}
	p.DefaultClass = "read"
	require.Equal(t, "read", p.Classify("GET", "/other").Name)
}

// Guards against a validation that stops at the first invalid field: an operator
// must see all of them at once.
func TestValidateReportsAllInvalidFields(t *testing.T) {
	require.Empty(t, validPolicy().Validate())
	p := validPolicy()
	p.Slots = 0
	p.RetryBudgetRatio = 1.5
	p.Classes[0].Retryable = true
	p.Classes[1].Name = "payout"
	p.Classes[1].Match[0].Path = "payouts/**/x"
	p.DefaultClass = "none"
	fields := []string{}
	for _, f := range p.Validate() {
		fields = append(fields, f.Field)
	}
	require.Equal(t, []string{"slots", "min_limit", "retry_budget_ratio", "classes[0].retryable", "classes[1].name", "classes[1].match[0].path", "default_class"}, fields)
}

func TestParseServiceName(t *testing.T) {
	n, err := ParseServiceName("paydesk.qureshi:7000")
	require.NoError(t, err)
	require.Equal(t, "paydesk.qureshi", n.String())
	for _, invalid := range []string{"", "paydesk", "a.b.c", "Pay.qureshi", "-a.b", ".b"} {
		_, err := ParseServiceName(invalid)
		require.Error(t, err, invalid)
	}
}
