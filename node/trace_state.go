package node

import (
	"strings"

	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/chainhttp"
)

// maxTraceStateMembers is the bound of the W3C Trace Context recommendation.
const maxTraceStateMembers = 32

// withToken returns a tracestate with the chain token first and the other
// members of the given one behind it.
func withToken(traceState, token string) string {
	members := []string{chainhttp.TraceStateKey + "=" + token}
	for member := range strings.SplitSeq(traceState, ",") {
		member = strings.TrimSpace(member)
		name, _, _ := strings.Cut(member, "=")
		if member == "" || name == chainhttp.TraceStateKey || len(members) == maxTraceStateMembers {
			continue
		}
		members = append(members, member)
	}
	return strings.Join(members, ",")
}

// tokenOf returns the chain token in a tracestate. ok is false when there is
// none; a malformed one is an error.
func tokenOf(traceState string) (token chain.Token, ok bool, err error) {
	for member := range strings.SplitSeq(traceState, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(member), "=")
		if name == chainhttp.TraceStateKey {
			token, err = chain.ParseToken(value)
			return token, err == nil, err
		}
	}
	return chain.Token{}, false, nil
}
