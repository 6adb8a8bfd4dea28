package demo

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
	"bytes"
	"net/http"
	"io"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

func TestDebug(t *testing.T) {
	d := deployments["qureshi"]
	ledger := target.NewLedger()
	s, err := startControlled(d, ledger, 1)
	if err != nil { t.Fatal(err) }
	defer s.stop()
	cs := s.(*controlledSystem)
	o := Options{Deployment: "qureshi", Duration: 12 * time.Second, Seed: 1, Progress: func(l string) {
		t.Log(l)
		for i, n := range cs.nodes {
			if d.serviceOf(i) == "sorthouse" || i == 4 || i == 0 {
				dump := n.Dump()
				t.Log(d.serviceOf(i), fmt.Sprintf("%+v %+v", dump["queue"], dump["limit"]))
			}
		}
	}}
	r, err := o.drive(context.Background(), "controlled", d, s, ledger)
	t.Logf("%+v %v", r, err)
	for c, v := range r.Classes { t.Log(c, *v) }
	sum := map[string]int{}
	for _, n := range cs.nodes {
		resp, _ := http.Get("http://" + n.Address("admin") + "/metrics")
		b, _ := io.ReadAll(resp.Body)
		for _, l := range bytes.Split(b, []byte("\n")) {
			x := string(l)
			if strings.HasPrefix(x, "goldcrestsail_responses_total") || strings.HasPrefix(x, "goldcrestsail_target_failures") || strings.HasPrefix(x, "goldcrestsail_retries") {
				i := strings.LastIndex(x, " ")
				var v int
				fmt.Sscan(x[i+1:], &v)
				sum[x[:i]] += v
			}
		}
	}
	for k, v := range sum { t.Log(k, v) }
}
