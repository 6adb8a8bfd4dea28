package configreaders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against readers that all wait at the store from the same moment on: if their
// connections go silent together, none of them notices for as long as they wait.
func TestReadersHearOfTheStoreInTurn(t *testing.T) {
	const span = 2 * time.Minute
	for _, nodes := range []int{1, 2, 4, 6, 13, 16, 73, 195, 1400} {
		domains := map[string][]Peer{}
		var all []Peer
		for i := range nodes {
			p := Peer{ID: fmt.Sprintf("%04x", i*7919%65536)}
			domain := fmt.Sprint(i % min(nodes, 6))
			domains[domain], all = append(domains[domain], p), append(all, p)
		}
		readers := map[string]bool{}
		for _, d := range domains {
			for _, r := range Readers(slices.Clone(d)) {
				readers[r.ID] = true
			}
		}
		var heard []time.Duration
		for _, p := range all {
			if !readers[p.ID] {
				continue
			}
			for at := ReadWait(p, domains, true); at < span; at += ReadWait(p, domains, false) {
				heard = append(heard, at)
			}
		}
		slices.Sort(heard)
		last := time.Duration(0)
		for _, at := range append(heard, span) {
			require.LessOrEqual(t, at-last, turnInterval, "%d nodes, after %v", nodes, last)
			last = at
		}
		// In rest a reader calls every maxReadWait, and all together at least once a
		// turnInterval; the turns after a change cost one call more for some of them.
		calls := float64(len(heard))
		atRest := max(float64(len(readers))*span.Seconds()/maxReadWait.Seconds(), span.Seconds()/turnInterval.Seconds())
		require.LessOrEqual(t, calls, atRest+maxReadWait.Seconds()/turnInterval.Seconds(), "%d nodes", nodes)
	}
}
