package logservice_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
	. "github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/stretchr/testify/require"
)

// roundTripperFunc is an http.RoundTripper that needs no network.
type roundTripperFunc func(*http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func fixedResponseClient(status int, body string) *HTTPClient {
	return NewHTTPClient(HTTPOptions{URL: "http://log", Transport: roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: -1, Request: r}, nil
	})})
}

// Guards against trusting the log service's response: wrong order, wrong
// types, error pages and oversized bodies must all become log-unavailable.
func TestReadRejectsInvalidResponses(t *testing.T) {
	for name, c := range map[string]*HTTPClient{
		"not JSON":           fixedResponseClient(200, "<html>"),
		"below from":         fixedResponseClient(200, `{"records":[{"offset":4,"data":""}],"next":9}`),
		"repeated":           fixedResponseClient(200, `{"records":[{"offset":5,"data":""},{"offset":5,"data":""}],"next":9}`),
		"at next":            fixedResponseClient(200, `{"records":[{"offset":9,"data":""}],"next":9}`),
		"error page":         fixedResponseClient(500, strings.Repeat("x", 1<<20)),
		"larger than 18 MiB": fixedResponseClient(200, `{"next":1,"x":"`+strings.Repeat("x", 19<<20)+`"}`),
	} {
		_, err := c.Read(context.Background(), "s", 5, 10, 0)
		require.Error(t, err, name)
		require.Equal(t, kind.LogUnavailable, kind.Of(err).Kind, name)
		require.Less(t, len(err.Error()), 500, name)
	}
}

// Guards against a follower that is stuck because the next records together
// exceed the response size limit.
func TestReadRetriesTooLargeResponseWithFewerRecords(t *testing.T) {
	var requestedMax []string
	c := NewHTTPClient(HTTPOptions{URL: "http://log", Transport: roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		requestedMax = append(requestedMax, r.URL.Query().Get("max"))
		body := `{"next":0}`
		if len(requestedMax) < 3 {
			body = strings.Repeat(" ", 19<<20)
		}
		return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(body)), ContentLength: -1, Request: r}, nil
	})})
	_, err := c.Read(context.Background(), "s", 0, 100, 0)
	require.NoError(t, err)
	require.Equal(t, []string{"100", "12", "1"}, requestedMax)
}

// Guards against a request that blocks forever because the log service accepts
// the connection and sends no response.
func TestRequestTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unresponsive := NewHTTPClient(HTTPOptions{URL: "http://log", Transport: roundTripperFunc(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})})
		start := time.Now()
		_, err := unresponsive.Append(context.Background(), "s", []byte("a"))
		require.Equal(t, kind.MayHaveRun, kind.Of(err).Run)
		require.Equal(t, DefaultTimeout, time.Since(start))
		_, err = unresponsive.Read(context.Background(), "s", 0, 1, time.Minute)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 2*DefaultTimeout+time.Minute, time.Since(start))
	})
}
