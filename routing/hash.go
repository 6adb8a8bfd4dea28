package routing

import "github.com/cespare/xxhash/v2"

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// combine mixes two hashes into a rendezvous weight. It is the finalizer of
// SplitMix64, which spreads every input bit over the whole result.
func combine(a, b uint64) uint64 {
	z := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
