package idempotency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

func issuedMachine(t *testing.T) (*Machine, func() Key) {
	m := NewMachine(exploreConfig, ProcessID{1}, Seed{})
	return m, func() Key {
		key, err := ParseKey(m.IssueKey(0))
		require.NoError(t, err)
		return key
	}
}

func oneResponse(t *testing.T, effects []Effect) Respond {
	require.Len(t, effects, 1)
	return effects[0].(Respond)
}

// Guards against stored responses that grow without bound, and against a
// repeat that is executed again because its response was evicted.
func TestMachineEvictsOldestResponse(t *testing.T) {
	m, newKey := issuedMachine(t)
	keys := []Key{newKey(), newKey(), newKey()}
	for i, key := range keys {
		token := oneResponse(t, m.Step(0, Request{Attempt: uint64(i), Key: key})).Token
		require.Equal(t, []Effect{AllowWrite{Token: token}}, m.Step(0, Write{Token: token}))
		require.Empty(t, m.Step(0, Finish{Token: token, Response: []byte("0123456789")}))
	}
	require.Equal(t, kind.AlreadyRan, oneResponse(t, m.Step(0, Request{Attempt: 10, Key: keys[0]})).Err.Kind)
	require.Equal(t, "0123456789", string(oneResponse(t, m.Step(0, Request{Attempt: 11, Key: keys[2]})).Response))
	require.LessOrEqual(t, m.Dump().ResponseBytes, exploreConfig.MaxResponseBytes)
	require.Equal(t, kind.KeyReused, oneResponse(t, m.Step(0, Request{Attempt: 12, Key: keys[2], Fingerprint: 9})).Err.Kind)
}

// Guards against an issued key that is executed again after the issuer forgot it.
func TestMachineIssuedKeyExpires(t *testing.T) {
	m, newKey := issuedMachine(t)
	key := newKey()
	token := oneResponse(t, m.Step(0, Request{Attempt: 1, Key: key})).Token
	m.Step(0, Write{Token: token})
	m.Step(0, Lost{Token: token})
	for now := time.Duration(0); now < 3*exploreConfig.Window; now += time.Second {
		m.Step(now, Tick{})
		err := oneResponse(t, m.Step(now, Request{Attempt: uint64(now), Key: key})).Err
		require.Equal(t, kind.MayHaveRun, err.Run)
	}
	require.Zero(t, m.Dump().LocalKeys)
}

// Guards against execution of an issued key of another service or process, and
// against "not run" for a key that an earlier guard may have executed.
func TestMachineRefusesForeignIssuedKeys(t *testing.T) {
	_, newKey := issuedMachine(t)
	other := NewMachine(exploreConfig, ProcessID{1}, Seed{Secret: [32]byte{1}})
	require.Equal(t, kind.MayHaveRun, oneResponse(t, other.Step(0, Request{Key: newKey()})).Err.Run)
	gone := NewMachine(exploreConfig, ProcessID{2}, Seed{})
	err := oneResponse(t, gone.Step(0, Request{Key: newKey()})).Err
	require.Equal(t, kind.ClaimLost, err.Kind)
	require.Equal(t, kind.MayHaveRun, err.Run)
}
