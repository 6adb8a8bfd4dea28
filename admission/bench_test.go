package admission

import (
	"fmt"
	"testing"
	"time"
)

var sizes = []int{16, 256, 4096, 65536}

// newFilledQueue returns a queue with n waiting requests spread over all ranks
// and no running ones.
func newFilledQueue(n int) *Queue {
	q := NewQueue(Config{MaxWaiting: n, QueueTimeout: time.Hour}, 0, epoch)
	for id := range ID(n) {
		q.Offer(epoch, Request{ID: id + 1, Rank: rankOf(id)})
	}
	return q
}

func rankOf(id ID) Rank { return MinRank + Rank(uint64(id)*2654435761%uint64(MaxRank)) }

func BenchmarkAdmitAndRelease(b *testing.B) {
	q := NewQueue(Config{}, 1, epoch)
	b.ReportAllocs()
	for i := range b.N {
		q.Offer(epoch, Request{ID: ID(i), Rank: MinRank})
		q.Release(epoch, ID(i))
	}
}

// Measures a request that arrives at a full queue and evicts another one.
func BenchmarkOfferToFullQueue(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := newFilledQueue(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := ID(n + i + 1)
				q.Offer(epoch, Request{ID: id, Rank: rankOf(id)})
			}
		})
	}
}

// Measures one arrival, one admission and one completion.
func BenchmarkOfferAndRelease(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := newFilledQueue(n)
			q.Configure(epoch, Config{MaxWaiting: n + 1, QueueTimeout: time.Hour})
			running := q.SetLimit(epoch, 1)[0].ID
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := ID(n + i + 1)
				q.Offer(epoch, Request{ID: id, Rank: rankOf(id)})
				running = q.Release(epoch, running)[0].ID
			}
		})
	}
}

// Measures the call that ends an interval and updates the level.
func BenchmarkLevelPerInterval(b *testing.B) {
	q := newFilledQueue(256)
	b.ReportAllocs()
	for i := range b.N {
		q.level.recordRefused(rankOf(ID(i)))
		q.Level(epoch.Add(time.Duration(i) * LevelInterval))
	}
}

func BenchmarkLevelWithinInterval(b *testing.B) {
	q := newFilledQueue(256)
	b.ReportAllocs()
	for range b.N {
		q.Level(epoch)
	}
}

// Measures one arrival and one completion with waiting requests of 1, 4 and 16
// classes.
func BenchmarkOfferAndReleaseByClasses(b *testing.B) {
	for _, classes := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) {
			q := NewQueue(Config{MaxWaiting: 1025, QueueTimeout: time.Hour}, 0, epoch)
			offer := func(id ID) {
				q.Offer(epoch, Request{ID: id, Rank: MakeRank(int(id)%classes, false, uint8(id)%ChainLevels)})
			}
			for id := range ID(1024) {
				offer(id + 1)
			}
			running := q.SetLimit(epoch, 1)[0].ID
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				offer(ID(1025 + i))
				running = q.Release(epoch, running)[0].ID
			}
		})
	}
}

// B/op is the memory of an empty queue.
func BenchmarkNewQueue(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		NewQueue(Config{}, 50, epoch)
	}
}
