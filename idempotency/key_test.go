package idempotency

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Guards against a key that is parsed as another format, and so gets weaker
// guarantees than its client relies on.
func TestParseKey(t *testing.T) {
	issued := (&issuer{self: uuid.MustParse("6f6a5f0c-90d5-4a57-8f6e-1f1df0a2b3c4")}).issue(1500 * time.Millisecond)
	for text, format := range map[string]KeyFormat{
		"018f2f6e-7c00-7000-8000-000000000001": FormatUUIDv7,
		"018F2F6E-7C00-7000-8000-000000000001": FormatUUIDv7,
		"018f2f6e-7c00-4000-8000-000000000001": FormatOpaque,
		"order 7":                              0,
		"order-7":                              FormatOpaque,
		"":                                     0,
		"ordré":                                0,
		strings.Repeat("x", MaxKeyBytes):       FormatOpaque,
		strings.Repeat("x", MaxKeyBytes+1):     0,
		issued:                                 FormatIssued,
		issued[:len(issued)-1]:                 0,
		issuedPrefix + strings.ToUpper(issued[len(issuedPrefix):]): 0,
	} {
		key, err := ParseKey(text)
		if format == 0 {
			require.Equal(t, kind.KeyMalformed, kind.Of(err).Kind, text)
			require.Equal(t, kind.NotRun, kind.Of(err).Run)
			continue
		}
		require.NoError(t, err, text)
		require.Equal(t, format, key.Format, text)
	}
	lower, _ := ParseKey("018f2f6e-7c00-7000-8000-00000000000a")
	upper, _ := ParseKey("018F2F6E-7C00-7000-8000-00000000000A")
	require.Equal(t, lower, upper)
	require.Equal(t, int64(0x018f2f6e7c00), lower.TimeMS)
}

// Guards against execution of a forged issued key or one of another issuer.
func TestIssuedKeyIsVerifiedOnlyByItsIssuer(t *testing.T) {
	self := uuid.MustParse("6f6a5f0c-90d5-4a57-8f6e-1f1df0a2b3c4")
	own := &issuer{self: self, secret: [32]byte{1}}
	text := own.issue(1500 * time.Millisecond)
	key, err := ParseKey(text)
	require.NoError(t, err)
	require.Equal(t, self, key.Issuer)
	require.Equal(t, 1500*time.Millisecond, key.IssuedAt)
	require.True(t, own.verify(key))
	require.False(t, (&issuer{self: self, secret: [32]byte{2}}).verify(key))
	key.serial++
	require.False(t, own.verify(key))
}

func FuzzParseKey(f *testing.F) {
	f.Add("018f2f6e-7c00-7000-8000-000000000001")
	f.Add((&issuer{}).issue(time.Second))
	f.Fuzz(func(t *testing.T, s string) {
		key, err := ParseKey(s)
		if err == nil && (key.Format < FormatOpaque || key.Format > FormatIssued || len(s) > MaxKeyBytes) {
			t.Fatalf("accepted %q as %v", s, key.Format)
		}
	})
}
