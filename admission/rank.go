package admission

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestsail/goldcrestsail/policy"
)

// Rank orders requests by priority; a smaller rank has precedence. From the
// highest bits down it encodes the importance of the class, whether the request
// is fresh (not part of a chain that was admitted upstream), and the chain
// level. Valid ranks are MinRank to MaxRank; 0 means "no information" where a
// rank is used as an admission level.
//
// Source of the chain level: the user priority of DAGOR (Zhou and others,
// "Overload Control for Scaling WeChat Microservices", SoCC 2018).
type Rank uint32

// ChainLevels is the number of chain levels; DAGOR uses 128 as well.
const ChainLevels = 1 << chainLevelBits

const (
	chainLevelBits = 7
	freshBit       = 1 << chainLevelBits
	importanceStep = 2 * freshBit
)

// MinRank and MaxRank bound valid ranks. An admission level of MaxRank refuses
// nothing.
const (
	MinRank Rank = 1
	MaxRank Rank = (policy.MaxImportance + 1) * importanceStep
)

// MakeRank returns the rank of a request. admitted tells whether the chain was
// admitted by an earlier hop. Values out of range are clamped.
func MakeRank(importance int, admitted bool, chainLevel uint8) Rank {
	importance = min(max(importance, 0), policy.MaxImportance)
	r := MinRank + Rank(importance)*importanceStep + Rank(min(chainLevel, ChainLevels-1))
	if !admitted {
		r += freshBit
	}
	return r
}

// ChainLevel returns the level of a chain, 0 to ChainLevels-1. It depends only
// on the chain ID, so that every hop treats a chain alike.
func ChainLevel(chainID string) uint8 {
	return uint8(xxhash.Sum64String(chainID) % ChainLevels)
}

// Importance returns the importance of the class; 0 is the most important.
func (r Rank) Importance() int { return int(r.clamp()-MinRank) / importanceStep }

// Admitted reports whether the chain was admitted by an earlier hop.
func (r Rank) Admitted() bool { return (r.clamp()-MinRank)&freshBit == 0 }

// RefusedAt reports whether a request of rank r would be refused at the given
// admission level. A level of 0 carries no information and refuses nothing.
func (r Rank) RefusedAt(level Rank) bool { return level != 0 && r > level }

// String returns importance, stage and chain level for logs and state dumps.
func (r Rank) String() string {
	if r == 0 {
		return "none"
	}
	stage := "fresh"
	if r.Admitted() {
		stage = "admitted"
	}
	return fmt.Sprintf("%d/%s/%d", r.Importance(), stage, (r.clamp()-MinRank)%ChainLevels)
}

func (r Rank) clamp() Rank { return min(max(r, MinRank), MaxRank) }
