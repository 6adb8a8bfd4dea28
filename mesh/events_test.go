package mesh

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/message"
)

// Guards against a fleet whose nodes get few requests each and log none of them, since
// each counts to the first logged one from its start.
func TestAnsweredRequestsAreLoggedByNodesWithFewRequests(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info, JSONFormat: true})
	const nodes, requests = 400, 3
	for i := range nodes {
		n := New(Config{TargetAddress: "127.0.0.1:1", Seed: uint64(i + 1), Logger: log})
		t.Cleanup(n.gate.Close)
		for range requests {
			q := &request{call: &message.Call{}}
			n.logRequest(q, &message.Request{}, &message.Reply{Response: &message.Response{Status: http.StatusOK}}, nil, time.Now())
		}
	}
	lines := strings.Count(out.String(), "request answered")
	require.InDelta(t, nodes*requests/answeredSampleInterval, lines, 8)
}
