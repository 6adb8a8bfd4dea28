package logservice_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/logstore"
	"github.com/goldcrestsail/goldcrestsail/kind"
	. "github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/stretchr/testify/require"
)

// roundTripper answers requests without a network.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func clientOf(status int, body string) *HTTPClient {
	return NewHTTPClient(HTTPOptions{URL: "http://log", Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: -1, Request: r}, nil
	})})
}

// Guards against trusting the log service's response: wrong order, wrong
// types, error pages and endless bodies must all become log-unavailable.
func TestReadRefusesWrongResponses(t *testing.T) {
	for name, c := range map[string]*HTTPClient{
		"not JSON":       clientOf(200, "<html>"),
		"below from":     clientOf(200, `{"records":[{"offset":4,"data":""}],"next":9}`),
		"repeated":       clientOf(200, `{"records":[{"offset":5,"data":""},{"offset":5,"data":""}],"next":9}`),
		"at next":        clientOf(200, `{"records":[{"offset":9,"data":""}],"next":9}`),
		"error page":     clientOf(500, strings.Repeat("x", 1<<20)),
		"larger than 18": clientOf(200, `{"next":1,"x":"`+strings.Repeat("x", 19<<20)+`"}`),
	} {
		_, err := c.Read(context.Background(), "s", 5, 10, 0)
		require.Error(t, err, name)
		require.Equal(t, kind.LogUnavailable, kind.Of(err).Kind, name)
		require.Less(t, len(err.Error()), 500, name)
	}
}

// Guards against a follower that never gets past many large records.
func TestReadAsksForFewerRecordsWhenTheResponseIsTooLarge(t *testing.T) {
	var asked []string
	c := NewHTTPClient(HTTPOptions{URL: "http://log", Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		asked = append(asked, r.URL.Query().Get("max"))
		body := `{"next":0}`
		if len(asked) < 3 {
			body = strings.Repeat(" ", 19<<20)
		}
		return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(body)), ContentLength: -1, Request: r}, nil
	})})
	_, err := c.Read(context.Background(), "s", 0, 100, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"100", "12", "1"}, asked)
}

// Guards against a request that hangs on a silent connection.
func TestRequestsHaveTimeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := NewHTTPClient(HTTPOptions{URL: "http://log", Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})})
		start := time.Now()
		_, err := silent.Append(context.Background(), "s", []byte("a"))
		require.Equal(t, kind.MayHaveRun, kind.Of(err).Run)
		require.Equal(t, DefaultTimeout, time.Since(start))
		_, err = silent.Read(context.Background(), "s", 0, 1, time.Minute)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 2*DefaultTimeout+time.Minute, time.Since(start))
	})
}

// Guards against a caller that gets the offset of another record, and against
// one request per append.
func TestGroupAppenderSharesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Options{})
		store.SetDelay(10 * time.Millisecond)
		g := NewGroupAppender(store, "s", GroupOptions{MaxRecords: 50})
		offsets := make([]uint64, 200)
		var wait sync.WaitGroup
		for i := range offsets {
			wait.Go(func() {
				offset, err := g.Append(context.Background(), fmt.Append(nil, i))
				offsets[i] = offset
				if err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		b, err := store.Read(context.Background(), "s", 0, 1000, 0)
		require.NoError(t, err)
		require.Len(t, b.Records, len(offsets))
		for i, offset := range offsets {
			require.Equal(t, fmt.Sprint(i), string(b.Records[offset].Data))
		}
		require.EqualValues(t, 4, store.Counters()["s"].Appends)
	})
}

// Guards against errors that claim too much: not-run is reported only for a
// record that was never sent or was refused.
func TestGroupAppenderErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Options{AppendRate: 1})
		g := NewGroupAppender(store, "s", GroupOptions{MaxWaiting: 1, MaxWait: 3 * time.Second})
		ctx := context.Background()
		_, err := g.Append(ctx, []byte("a"))
		require.NoError(t, err)

		// The rate is exceeded: the append waits for its turn.
		start := time.Now()
		_, err = g.Append(ctx, []byte("b"))
		require.NoError(t, err)
		require.Greater(t, time.Since(start), 500*time.Millisecond)

		store.LoseAnswers(1)
		time.Sleep(time.Second)
		_, err = g.Append(ctx, []byte("c"))
		require.Equal(t, kind.MayHaveRun, kind.Of(err).Run)

		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, err = g.Append(short, []byte("d"))
		require.Equal(t, kind.NotRun, kind.Of(err).Run, "the group was not sent yet")

		store.SetDelay(time.Second)
		late, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		done := make(chan error)
		go func() {
			_, err := g.Append(late, []byte("e"))
			done <- err
		}()
		time.Sleep(time.Millisecond)
		_, err = g.Append(ctx, []byte("f"))
		require.Equal(t, kind.NotRun, kind.Of(err).Run, "only one append may wait")
		require.Equal(t, kind.MayHaveRun, kind.Of(<-done).Run, "the group was sent")

		store.SetDelay(0)
		store.SetOutage(true)
		start = time.Now()
		_, err = g.Append(ctx, []byte("g"))
		require.Equal(t, kind.LogUnavailable, kind.Of(err).Kind)
		require.False(t, errors.Is(err, ErrRateExceeded))
		require.Less(t, time.Since(start), 2*time.Second, "an outage is reported without waiting")
	})
}
