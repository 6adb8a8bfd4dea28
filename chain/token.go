package chain

import (
	"encoding/hex"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// tokenBytes is the length of a token, long enough that a target cannot guess the
// token of another request.
const tokenBytes = 16

// Token identifies a running request to its target. The node generates it at
// random.
type Token [tokenBytes]byte

// String returns the token in hexadecimal, as it is sent in tracestate.
func (t Token) String() string { return hex.EncodeToString(t[:]) }

// ParseToken parses the hexadecimal form of a token. The error has kind malformed.
func ParseToken(s string) (Token, error) {
	var t Token
	if len(s) != hex.EncodedLen(tokenBytes) {
		return t, kind.Newf(kind.Malformed, "chain token has %d characters, want %d", len(s), hex.EncodedLen(tokenBytes))
	}
	if _, err := hex.Decode(t[:], []byte(s)); err != nil {
		return Token{}, kind.Newf(kind.Malformed, "chain token: %v", err)
	}
	return t, nil
}
