package chainadmission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/pressure"
)

// Guards against starting chains that a downstream service refuses, and against
// refusing a route because of a service that its requests rarely call.
func TestChainRefusedByDownstreamCutoff(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable()
	for range 100 {
		table.Learn(Start{"browse", "shop"}, map[string]float64{"shop": 1, "stock": 4})
		table.Learn(Start{"schedule", "plan"}, map[string]float64{"plan": 1})
	}
	table.Learn(Start{"rare", "shop"}, map[string]float64{"shop": 1})
	for range 100 {
		table.Learn(Start{"rare", "shop"}, map[string]float64{"shop": 1, "stock": 0.2})
	}
	table.Observe("stock", "t1", 2.5, now)
	table.Observe("stock", "t2", 1.5, now)
	require.InDelta(t, 4, table.Runs(Start{"browse", "shop"})["stock"], 1e-9)
	for _, c := range []struct {
		route, service string
		position       float64
		refuse         bool
	}{
		{"browse", "shop", 1.9, false}, {"browse", "shop", 2.1, true}, {"schedule", "plan", 9, false}, {"rare", "shop", 9, false},
		{"unknown", "shop", 9, false}, {"unknown", "stock", 9, true}, {"browse", "stock", 2.1, true},
	} {
		v := table.Check(Start{c.route, c.service}, c.position, now)
		require.Equal(t, c.refuse, v.Refuse, "%+v", c)
		if v.Refuse {
			require.Equal(t, "stock", v.Service)
		}
	}
}

// Guards against an outdated cutoff that refuses chains after the overload has
// ended, and against a delayed cutoff that replaces a newer one.
func TestCutoffsExpire(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable()
	table.Observe("stock", "t1", 1, now)
	table.Observe("stock", "t1", 9, now.Add(-time.Millisecond))
	cutoff, age := table.Cutoff("stock", now.Add(500*time.Millisecond))
	require.Equal(t, pressure.Cutoff(1), cutoff)
	require.Equal(t, 500*time.Millisecond, age)
	cutoff, _ = table.Cutoff("stock", now.Add(maxCutoffAge+time.Millisecond))
	require.Equal(t, pressure.AdmitAll, cutoff)
}

// Guards against a table that is filled by the routes of many versions, and learns nothing
// of those in force.
func TestRoutesOfManyVersionsDoNotFillTable(t *testing.T) {
	table := NewTable()
	for version := range 2 * maxStarts {
		start := Start{fmt.Sprintf("route-%d", version), "shop"}
		table.Retain(func(s Start) bool { return s == start })
		table.Learn(start, map[string]float64{"shop": 1, "stock": 4})
		require.NotNil(t, table.Runs(start), "version %d", version)
	}
}
