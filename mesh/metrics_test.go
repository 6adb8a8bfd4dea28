package mesh

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/routetable"
)

// Guards against documented metrics that are not served, and against served
// metrics that are not documented.
func TestOperationsPageListsAllMetrics(t *testing.T) {
	n := New(Config{TargetAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", GossipAddress: "127.0.0.1:0"})
	require.NoError(t, n.Start())
	defer n.Close()
	q := &request{route: &routetable.Route{Name: "r"}, call: &message.Call{}}
	n.metrics.recordRequest(q, 503, kind.New(kind.Shed, ""), time.Second)
	n.metrics.registerBudgetGauges(n, "s")
	n.splits.record(&routetable.Route{Name: "r", Clusters: []routetable.Cluster{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}, "a", 1, true)
	for _, h := range []interface{ Update(float64) }{n.metrics.attemptTime, n.metrics.targetTime, n.metrics.queueTime} {
		h.Update(1)
	}
	var out bytes.Buffer
	n.metrics.set.WritePrometheus(&out)
	served := map[string]bool{}
	for _, name := range regexp.MustCompile(`(?m)^goldcrestsail_\w+`).FindAllString(out.String(), -1) {
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		served[name] = true
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	table := regexp.MustCompile(`(?s)<!-- metrics -->(.*)<!-- /metrics -->`).FindStringSubmatch(string(page))[1]
	listed := map[string]bool{}
	for _, name := range regexp.MustCompile("`(goldcrestsail_\\w+)").FindAllStringSubmatch(table, -1) {
		listed[name[1]] = true
	}
	require.Equal(t, listed, served)
}
