package routing

import "github.com/cespare/xxhash/v2"

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// rendezvousWeight combines two hashes into a weight for rendezvous hashing with
// the SplitMix64 finalizer, in which every input bit affects every output bit.
func rendezvousWeight(a, b uint64) uint64 {
	z := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
