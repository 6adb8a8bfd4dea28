package idempotency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

func newMachineWithIssuedKeys(t *testing.T) (*Machine, func() Key) {
	m := NewMachine(testConfig, ProcessID{1}, Seed{})
	return m, func() Key {
		key, err := ParseKey(m.IssueKey(0))
		require.NoError(t, err)
		return key
	}
}

func singleRespond(t *testing.T, effects []Effect) Respond {
	require.Len(t, effects, 1)
	return effects[0].(Respond)
}

// Guards against unbounded growth of stored responses, and against a second
// execution of a key whose response was evicted.
func TestMachineEvictsOldestResponse(t *testing.T) {
	m, newKey := newMachineWithIssuedKeys(t)
	keys := []Key{newKey(), newKey(), newKey()}
	for i, key := range keys {
		token := singleRespond(t, m.Step(0, Request{Attempt: uint64(i), Key: key})).Token
		require.Equal(t, []Effect{AllowWrite{Token: token}}, m.Step(0, Write{Token: token}))
		require.Empty(t, m.Step(0, Finish{Token: token, Response: []byte("0123456789")}))
	}
	require.Equal(t, kind.AlreadyRan, singleRespond(t, m.Step(0, Request{Attempt: 10, Key: keys[0]})).Err.Kind)
	require.Equal(t, "0123456789", string(singleRespond(t, m.Step(0, Request{Attempt: 11, Key: keys[2]})).Response))
	require.LessOrEqual(t, m.Dump().ResponseBytes, testConfig.MaxResponseBytes)
	require.Equal(t, kind.KeyReused, singleRespond(t, m.Step(0, Request{Attempt: 12, Key: keys[2], Fingerprint: 9})).Err.Kind)
}

// Guards against a second execution of an issued key after its issuer has removed
// it from memory.
func TestMachineIssuedKeyExpires(t *testing.T) {
	m, newKey := newMachineWithIssuedKeys(t)
	key := newKey()
	token := singleRespond(t, m.Step(0, Request{Attempt: 1, Key: key})).Token
	m.Step(0, Write{Token: token})
	m.Step(0, ResponseLost{Token: token})
	for now := time.Duration(0); now < 3*testConfig.Window; now += time.Second {
		m.Step(now, Tick{})
		err := singleRespond(t, m.Step(now, Request{Attempt: uint64(now), Key: key})).Err
		require.Equal(t, kind.MayHaveRun, err.Run)
	}
	require.Zero(t, m.Dump().LocalKeys)
}

// Guards against execution of an issued key of another service or process, and
// against reporting not-run for a key that an earlier Machine may have
// executed.
func TestMachineRefusesIssuedKeysOfOtherIssuers(t *testing.T) {
	_, newKey := newMachineWithIssuedKeys(t)
	otherSecret := NewMachine(testConfig, ProcessID{1}, Seed{Secret: [32]byte{1}})
	require.Equal(t, kind.MayHaveRun, singleRespond(t, otherSecret.Step(0, Request{Key: newKey()})).Err.Run)
	otherProcess := NewMachine(testConfig, ProcessID{2}, Seed{})
	err := singleRespond(t, otherProcess.Step(0, Request{Key: newKey()})).Err
	require.Equal(t, kind.ClaimLost, err.Kind)
	require.Equal(t, kind.MayHaveRun, err.Run)
}
