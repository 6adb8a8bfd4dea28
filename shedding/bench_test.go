package shedding

import (
	"fmt"
	"testing"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

// newBenchTable returns a table with 8 targets (the default subset size) of each
// service, and a path of pathLength services for each class.
func newBenchTable(services, classes, pathLength int, level admission.Rank) *Table {
	table := NewTable(Config{})
	for s := range services {
		for target := range 8 {
			table.Observe(fmt.Sprint("s", s, ".x"), fmt.Sprint(target), level, at(0))
		}
		for c := range classes {
			var visited []string
			for i := range pathLength {
				visited = append(visited, fmt.Sprint("s", (s+i)%services, ".x"))
			}
			table.Learn(fmt.Sprint("s", s, ".x"), fmt.Sprint("c", c), visited)
		}
	}
	return table
}

func benchmarkCheck(b *testing.B, level admission.Rank) {
	for _, size := range []struct{ services, classes, pathLength int }{{5, 2, 5}, {95, 2, 5}, {95, 10, 5}, {95, 10, 15}} {
		b.Run(fmt.Sprintf("services=%d/classes=%d/path=%d", size.services, size.classes, size.pathLength), func(b *testing.B) {
			table, rng := newBenchTable(size.services, size.classes, size.pathLength, level), generator()
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
	table := newBenchTable(95, 10, 5, admission.MaxRank)
	b.ReportAllocs()
	for range b.N {
		table.Observe("s3.x", "7", admission.MaxRank, at(1))
	}
}

func BenchmarkLearn(b *testing.B) {
	for _, pathLength := range []int{5, 15, 64} {
		b.Run(fmt.Sprint("path=", pathLength), func(b *testing.B) {
			table := newBenchTable(95, 10, 5, admission.MaxRank)
			var visited []string
			for i := range pathLength {
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
		newBenchTable(95, 10, 15, admission.MaxRank)
	}
}
