package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Designated returns the one of targets on which a suspect may run, or "" if
// there are none. It is chosen by rendezvous hashing (Thaler and Ravishankar,
// 1998), so that nodes that see the same targets agree.
func Designated(f Fingerprint, targets []string) string {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], uint64(f))
	best, bestScore := "", uint64(0)
	for _, t := range targets {
		d := xxhash.New()
		_, _ = d.Write(key[:])
		_, _ = d.WriteString(t)
		if score := d.Sum64(); best == "" || score > bestScore || score == bestScore && t < best {
			best, bestScore = t, score
		}
	}
	return best
}
