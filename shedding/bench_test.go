package shedding

import (
	"fmt"
	"testing"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// tableOf returns a table with 8 targets, the default subset, of each service,
// and paths of a number of services for each class.
func tableOf(services, classes, onPath int, level admission.Rank) *Table {
	table := NewTable(Config{})
	for s := range services {
		for target := range 8 {
			table.Observe(fmt.Sprint("s", s, ".x"), fmt.Sprint(target), level, at(0))
		}
		for c := range classes {
			var visited []string
			for i := range onPath {
				visited = append(visited, fmt.Sprint("s", (s+i)%services, ".x"))
			}
			table.Learn(fmt.Sprint("s", s, ".x"), fmt.Sprint("c", c), visited)
		}
	}
	return table
}

func benchmarkCheck(b *testing.B, level admission.Rank) {
	for _, size := range []struct{ services, classes, onPath int }{{5, 2, 5}, {95, 2, 5}, {95, 10, 5}, {95, 10, 15}} {
		b.Run(fmt.Sprintf("services=%d/classes=%d/path=%d", size.services, size.classes, size.onPath), func(b *testing.B) {
			table, rng := tableOf(size.services, size.classes, size.onPath, level), generator()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				table.Check(Request{Service: "s3.x", Class: "c1", Importance: 5, ChainLevel: uint8(i % 128)}, at(1), rng)
			}
		})
	}
}

func BenchmarkCheckNothingRefused(b *testing.B) { benchmarkCheck(b, admission.MaxRank) }

func BenchmarkCheckRefused(b *testing.B) { benchmarkCheck(b, admission.MinRank) }

func BenchmarkObserve(b *testing.B) {
	table := tableOf(95, 10, 5, admission.MaxRank)
	b.ReportAllocs()
	for range b.N {
		table.Observe("s3.x", "7", admission.MaxRank, at(1))
	}
}

func BenchmarkLearn(b *testing.B) {
	for _, onPath := range []int{5, 15, 64} {
		b.Run(fmt.Sprint("path=", onPath), func(b *testing.B) {
			table := tableOf(95, 10, 5, admission.MaxRank)
			var visited []string
			for i := range onPath {
				visited = append(visited, fmt.Sprint("s", i, ".x"))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				table.Learn("s3.x", "c1", visited)
			}
		})
	}
}

// B/op bounds the memory of a table of the design size: 95 services with 8
// targets each, 10 classes and paths of 15 services.
func BenchmarkTableOfDesignSize(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		tableOf(95, 10, 15, admission.MaxRank)
	}
}
