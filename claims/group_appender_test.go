package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
)

// Guards against one request to the log per record, against a record that is lost
// or appended twice, and against an outage that is reported as success.
func TestGroupAppenderCombinesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Options{})
		store.SetDelay(10 * time.Millisecond)
		a := NewGroupAppender(store, "s", DefaultAppendInterval, time.Second)
		defer a.Close()
		const callers = 600
		var wait sync.WaitGroup
		for i := range callers {
			wait.Go(func() {
				if err := a.Append(context.Background(), fmt.Append(nil, i)); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		b, err := store.Read(context.Background(), "s", 0, 2*callers, 0)
		require.NoError(t, err)
		seen := map[string]bool{}
		for _, r := range b.Records {
			seen[string(r.Data)] = true
		}
		require.Len(t, b.Records, callers)
		require.Len(t, seen, callers)
		// The first append contains only the records queued at its start.
		require.LessOrEqual(t, store.Counters()["s"].Appends, uint64(callers/MaxGroupRecords+2))

		store.SetOutage(true)
		require.Error(t, a.Append(context.Background(), []byte("late")))
	})
}

// Guards against nodes that together exceed the append rate: a longer interval must
// apply from the next append on.
func TestSetIntervalSpacesAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Options{})
		a := NewGroupAppender(store, "s", DefaultAppendInterval, time.Second)
		defer a.Close()
		a.SetInterval(400 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 1900*time.Millisecond)
		defer cancel()
		for a.Append(ctx, []byte("x")) == nil {
		}
		require.EqualValues(t, 5, store.Counters()["s"].Appends)
	})
}
