package node

import (
	"strings"

	"github.com/goldcrestsail/goldcrestsail/chain"
	"github.com/goldcrestsail/goldcrestsail/chainhttp"
)

// maxTraceStateMembers is the limit of the W3C Trace Context recommendation.
const maxTraceStateMembers = 32

// addChainToken returns traceState with the chain token as its first member,
// replacing an earlier one.
func addChainToken(traceState, token string) string {
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

// parseChainToken returns the chain token in a tracestate. ok is false if there
// is none; a malformed token is an error.
func parseChainToken(traceState string) (token chain.Token, ok bool, err error) {
	for member := range strings.SplitSeq(traceState, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(member), "=")
		if name == chainhttp.TraceStateKey {
			token, err = chain.ParseToken(value)
			return token, err == nil, err
		}
	}
	return chain.Token{}, false, nil
}
