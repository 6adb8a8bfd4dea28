package node

import (
	"io"
	"net/http"
	"testing"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// BenchmarkCall compares a direct call to the target with a call through the
// target's own node and a call through two nodes.
func BenchmarkCall(b *testing.B) {
	f := newFixture(b)
	raiseLimits := func(p *configlog.PolicyBody) { *p.Slots, *p.Connections = 500, 500 }
	f.publishPolicy("front", raiseLimits)
	f.publishPolicy("back", raiseLimits)
	other, _ := f.addTarget(target.Config{Service: "front", Slots: 500})
	own, tgt := f.addTarget(target.Config{Service: "back", Slots: 500})
	f.waitReady()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	for _, route := range []struct{ name, address string }{
		{"direct", tgt.Address()}, {"one-node", own.Address("caller")}, {"two-nodes", other.Address("caller")},
	} {
		b.Run(route.name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					r, err := http.NewRequest(http.MethodGet, "http://"+route.address+"/item", nil)
					if err != nil {
						b.Fatal(err)
					}
					r.Host = "back.acme"
					resp, err := client.Do(r)
					if err != nil {
						b.Fatal(err)
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode != http.StatusOK {
						b.Fatal(resp.Status)
					}
				}
			})
		})
	}
}
