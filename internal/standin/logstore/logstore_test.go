package logstore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/stretchr/testify/require"
)

// Checks that the store behaves the same when used directly and over HTTP: order,
// retention, rate limit and every fault, with an injected clock.
func TestStoreDirectlyAndOverHTTP(t *testing.T) {
	for _, transport := range []string{"direct", "HTTP"} {
		t.Run(transport, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			store := New(Options{Now: func() time.Time { return now }, Retention: time.Hour, AppendRate: 20})
			var client logservice.Client = store
			server := httptest.NewServer(store.Handler())
			defer server.Close()
			if transport == "HTTP" {
				client = logservice.NewHTTPClient(logservice.HTTPOptions{URL: server.URL, Timeout: time.Minute})
			}
			ctx := context.Background()
			first, err := client.Append(ctx, "s", []byte("a"), []byte("b"))
			require.NoError(t, err)
			require.Zero(t, first)
			now = now.Add(time.Minute)
			first, err = client.Append(ctx, "s", []byte("c"))
			require.NoError(t, err)
			require.EqualValues(t, 2, first)
			b, err := client.Read(ctx, "s", 1, 1, 0)
			require.NoError(t, err)
			require.Equal(t, logservice.Batch{Records: []logservice.Record{{Offset: 1, Time: time.UnixMilli(1_000_000).UTC(), Data: []byte("b")}}, Next: 2}, b)

			now = now.Add(time.Hour - time.Second)
			b, err = client.Read(ctx, "s", 0, 10, 0)
			require.NoError(t, err)
			require.Len(t, b.Records, 1, "the first two records have expired")
			require.EqualValues(t, 2, b.Earliest)
			now = now.Add(time.Second)
			b, err = client.Read(ctx, "s", 0, 10, 0)
			require.NoError(t, err)
			require.Equal(t, logservice.Batch{Next: 3, Earliest: 3}, b)

			store.LoseResponses(1)
			_, err = client.Append(ctx, "s", []byte("d"))
			require.Equal(t, kind.LogUnavailable, kind.Of(err).Kind)
			require.Equal(t, kind.MayHaveRun, kind.Of(err).Run)
			first, err = client.Append(ctx, "s", []byte("d"))
			require.NoError(t, err)
			require.EqualValues(t, 4, first, "the append whose response was lost took effect")

			store.SetOutage(true)
			_, err = client.Read(ctx, "s", 0, 10, time.Minute)
			require.Equal(t, kind.LogUnavailable, kind.Of(err).Kind)
			_, err = client.Append(ctx, "s", []byte("x"))
			require.Equal(t, kind.LogUnavailable, kind.Of(err).Kind)
			store.SetOutage(false)

			_, err = client.Append(ctx, "s", []byte("e"))
			require.True(t, errors.Is(err, logservice.ErrRateExceeded), "a rate of 20 per second allows a burst of two appends")
			require.Equal(t, kind.NotRun, kind.Of(err).Run)
			require.Equal(t, Counters{Appends: 4, Records: 5, Reads: 3, Refused: 3, ResponsesLost: 1}, store.Counters()["s"])
			_, err = client.Append(ctx, "../s", []byte("x"))
			require.Equal(t, kind.Malformed, kind.Of(err).Kind)
		})
	}
}

func TestAppendWakesWaitingRead(t *testing.T) {
	store := New(Options{})
	batches := make(chan logservice.Batch)
	go func() {
		b, err := store.Read(context.Background(), "s", 0, 10, time.Minute)
		if err != nil {
			t.Error(err)
		}
		batches <- b
	}()
	_, err := store.Append(context.Background(), "s", []byte("a"))
	require.NoError(t, err)
	require.Len(t, (<-batches).Records, 1)
}

func TestControlEndpoint(t *testing.T) {
	store := New(Options{})
	for body, status := range map[string]int{`{"outage":true,"delay_ms":7,"lose_answers":-1}`: 200, `{"fire":1}`: 400} {
		w := httptest.NewRecorder()
		store.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
		require.Equal(t, status, w.Code)
	}
	w := httptest.NewRecorder()
	store.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/control", nil))
	require.JSONEq(t, `{"faults":{"outage":true,"delay_ms":7,"lose_answers":-1},"streams":{}}`, w.Body.String())
}

// Guards against the loss of an acknowledged append when the process is killed,
// and against a partially written record that prevents the next start.
func TestRecordsSurviveRestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "records")
	first, err := Open(Options{File: file})
	require.NoError(t, err)
	for _, data := range []string{"a", "b"} {
		_, err := first.Append(t.Context(), "s", []byte(data))
		require.NoError(t, err)
	}
	require.NoError(t, first.file.file.Close())
	complete, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, append(complete, `{"stream":"s","off`...), 0o600))

	second, err := Open(Options{File: file})
	require.NoError(t, err)
	offset, err := second.Append(t.Context(), "s", []byte("c"))
	require.NoError(t, err)
	require.EqualValues(t, 2, offset)
	require.NoError(t, second.file.file.Close())
	third, err := Open(Options{File: file})
	require.NoError(t, err)
	batch, err := third.Read(t.Context(), "s", 0, 10, 0)
	require.NoError(t, err)
	require.NoError(t, third.file.file.Close())
	require.Len(t, batch.Records, 3)
	require.EqualValues(t, 3, batch.Next)
	require.Equal(t, "c", string(batch.Records[2].Data))
}
