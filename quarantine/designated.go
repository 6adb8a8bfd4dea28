package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DesignatedTarget returns the target on which a suspect may run, whoever its caller is, or
// "" if there are no targets. It uses rendezvous hashing (Thaler and Ravishankar, 1998), so
// that nodes with the same list of targets choose the same one.
func DesignatedTarget(f Fingerprint, targets []string) string {
	var fingerprintBytes [8]byte
	binary.LittleEndian.PutUint64(fingerprintBytes[:], uint64(f.Content()))
	best, bestScore := "", uint64(0)
	for _, target := range targets {
		hash := xxhash.New()
		_, _ = hash.Write(fingerprintBytes[:])
		_, _ = hash.WriteString(target)
		if score := hash.Sum64(); best == "" || score > bestScore || score == bestScore && target < best {
			best, bestScore = target, score
		}
	}
	return best
}
