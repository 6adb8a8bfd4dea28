package node

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/chainhttp"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Guards against header values that cause a panic, hide the chain token of a
// request, or are parsed as an invalid service name or timeout.
func FuzzHeaders(f *testing.F) {
	f.Add("binwatch.qureshi:7000", "800", "vendor=1,goldcrestsail=00112233445566778899aabbccddeeff")
	f.Add("..", "-1", "goldcrestsail=")
	f.Add("a.b", "600001", strings.Repeat("a=b,", 40))
	f.Fuzz(func(t *testing.T, host, timeout, traceState string) {
		if name, err := policy.ParseServiceName(host); err == nil {
			require.True(t, policy.ValidName(name.Customer) && policy.ValidName(name.Service))
		}
		if d, ok := chainhttp.ParseTimeout(timeout); ok {
			require.True(t, d > 0 && d <= chainhttp.MaxTimeout)
		}
		_, _, _ = parseChainToken(traceState)
		token := chain.Token{1, 2, 3}
		sent := addChainToken(traceState, token.String())
		require.LessOrEqual(t, strings.Count(sent, ",")+1, maxTraceStateMembers)
		back, ok, err := parseChainToken(sent)
		require.NoError(t, err)
		require.True(t, ok)
		require.Equal(t, token, back)
	})
}

// Guards against an announcement that causes a panic or passes validation with
// an invalid field.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"customer":"qureshi","service":"paydesk","address":"127.0.0.1:80","slots":70,"state":"ready"}`))
	f.Add([]byte(`{"slots":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a Announcement
		if json.Unmarshal(data, &a) != nil || len(a.Validate()) > 0 {
			return
		}
		require.True(t, a.Slots >= 0 && a.Slots <= maxAnnouncedSlots)
		require.True(t, policy.ValidName(a.Customer) && policy.ValidName(a.Service))
	})
}
