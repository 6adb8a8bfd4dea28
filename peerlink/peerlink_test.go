package peerlink

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const testTimeout = 20 * time.Second

func startServer(t *testing.T, handle func(context.Context, *message.Call) *message.Reply) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Handle: handle, Config: func() []byte { return []byte("config") }}
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func testCall(id string) *message.Call {
	return &message.Call{Request: message.Request{ID: id, Method: "GET", URI: "/" + id, Deadline: time.Now().Add(testTimeout)}, Service: "s"}
}

// tablePair holds the string tables of both ends for one direction of a connection.
type tablePair struct{ sent, received stringTable }

// transfer encodes a frame and reads it back.
func (w *tablePair) transfer(t require.TestingT, f frame, now time.Time) frame {
	f.payload = f.appendPayload(nil, &w.sent, now)
	got, err := readFrame(bytes.NewReader(append(appendFrame(nil, f), f.body...)), nil)
	require.NoError(t, err)
	return got
}

// Guards against a field that is lost or changed in transmission, both in the
// first message of a connection and in later ones that refer to its string table.
func TestCallAndReplyRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		calls, replies := &tablePair{}, &tablePair{}
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			checkRoundTrip(t, calls, replies, now)
		}
	})
}

func checkRoundTrip(t *rapid.T, calls, replies *tablePair, now time.Time) {
	text := rapid.OneOf(rapid.StringN(0, 20, -1), rapid.SampledFrom([]string{"", "a", "accept", strings.Repeat("x", 2*maxTableStringBytes)}))
	header := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message.Field {
		return message.Field{Name: text.Draw(t, "name"), Value: text.Draw(t, "value")}
	}), 0, 4)
	c := &message.Call{Service: "s" + text.Draw(t, "service"), CallerService: text.Draw(t, "caller"), Unsafe: rapid.Bool().Draw(t, "unsafe"),
		Importance: rapid.Uint8().Draw(t, "importance"), ChainLevel: rapid.Uint8().Draw(t, "level"), Admitted: rapid.Bool().Draw(t, "admitted"), Repeat: rapid.Bool().Draw(t, "repeat"),
		MaxWait: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "wait")) * time.Microsecond, WaitForRate: rapid.Bool().Draw(t, "wait for rate"), KnownCrashes: rapid.IntRange(0, maxKnownCrashes).Draw(t, "crashes")}
	if rapid.Bool().Draw(t, "call has notice") {
		c.Notice = &message.TargetNotice{Target: 5, RatePerSecond: 0.125, Leaving: true}
	}
	c.ID, c.Method, c.URI, c.Host = text.Draw(t, "id"), "M"+text.Draw(t, "method"), "/"+text.Draw(t, "uri"), text.Draw(t, "host")
	c.Header, c.Body = header.Draw(t, "header"), rapid.SliceOf(rapid.Byte()).Draw(t, "body")
	c.Arrived, c.Deadline = now, now.Add(time.Duration(rapid.IntRange(0, 1e9).Draw(t, "left"))*time.Microsecond)
	gotCall, err := decodeCall(calls.transfer(t, frame{kind: frameCall, id: 7, call: c, body: c.Body}, now), &calls.received, now)
	require.NoError(t, err)
	gotCall.Body, c.Body = append([]byte{}, gotCall.Body...), append([]byte{}, c.Body...)
	require.Equal(t, len(c.Header), len(gotCall.Header))
	gotCall.Header, c.Header = append([]message.Field{}, gotCall.Header...), append([]message.Field{}, c.Header...)
	require.Equal(t, c, gotCall)

	r := &message.Reply{DependencyFailed: rapid.Bool().Draw(t, "dependency")}
	if rapid.Bool().Draw(t, "failed") {
		r.Failure = &kind.Error{Kind: kind.Shed, Run: kind.NotRun, Detail: text.Draw(t, "detail"), RetryAfter: time.Second}
	} else {
		r.Response = &message.Response{Status: rapid.IntRange(200, 599).Draw(t, "status"), FromTarget: true, Body: []byte{}, Header: header.Draw(t, "response header")}
	}
	r.Load = &message.Load{Running: 1, Waiting: rapid.Uint32().Draw(t, "waiting"), Limit: 3, Level: 4, Cutoff: 2.5, ServiceTime: time.Millisecond, ByImportance: []uint32{1, 0, 2}}
	if rapid.Bool().Draw(t, "has notice") {
		r.Notice = &message.TargetNotice{Target: rapid.Uint64().Draw(t, "target"), RatePerSecond: float64(rapid.IntRange(0, 1e6).Draw(t, "rate")) / 8, Leaving: rapid.Bool().Draw(t, "leaving")}
	}
	r.CrashReport = rapid.SliceOf(rapid.Byte()).Draw(t, "crash report")
	if len(r.CrashReport) == 0 {
		r.CrashReport = nil
	}
	r.OwnTime = time.Duration(rapid.IntRange(0, 1e6).Draw(t, "own time")) * time.Microsecond
	r.Visited = []message.Visit{{Service: text.Draw(t, "visited"), Runs: rapid.Uint32Range(0, 1000).Draw(t, "runs")}}
	r.Cutoffs = []message.ServiceCutoff{{Service: "b", Cutoff: 0.25, Age: 5 * time.Millisecond}}
	gotReply, err := decodeReply(replies.transfer(t, frame{kind: frameReply, id: 7, reply: r}, now), &replies.received)
	require.NoError(t, err)
	if r.Response != nil && len(r.Response.Header) == 0 {
		r.Response.Header = nil
	}
	require.Equal(t, r, gotReply)
}

// Guards against names that are sent in full in every message, as traffic between
// failure domains is expensive: an identical second message takes less than half
// the size of the first.
func TestRepeatedStringsAreSentAsIndexes(t *testing.T) {
	c := testCall("a")
	c.Host, c.Service, c.CallerService = "huka56.example", "finy80d", "gomi9c"
	c.Header = []message.Field{{Name: "User-Agent", Value: "sdk-client/1.9.3"}, {Name: "Accept", Value: "*/*"}, {Name: "Accept-Encoding", Value: "identity"}}
	var sent stringTable
	first := len(appendCall(nil, &sent, c, time.Now()))
	require.Less(t, len(appendCall(nil, &sent, c, time.Now())), first/2)
}

// Guards against a peer that makes the string tables grow without bound.
func TestStringTableIsBounded(t *testing.T) {
	var sent, received stringTable
	for i := range 4 * maxTableStrings {
		header := []message.Field{{Name: fmt.Sprint("name-", i), Value: "v"}}
		var got []message.Field
		require.NoError(t, walkFields(sent.appendHeader(nil, 1, header), func(protowire.Number, uint64) {}, func(_ protowire.Number, v []byte) error {
			return received.decodeHeader(v, &got)
		}))
		require.Equal(t, header, got)
	}
	for _, table := range []*stringTable{&sent, &received} {
		require.LessOrEqual(t, len(table.strings), maxTableStrings)
		require.LessOrEqual(t, len(table.last), maxTableStrings)
	}
}

// Guards against malformed frames that crash a node.
func FuzzDecode(f *testing.F) {
	f.Add(appendFrame(nil, frame{kind: frameCall, id: 1, payload: appendCall(nil, &stringTable{}, testCall("a"), time.Now())}))
	f.Add(appendFrame(nil, frame{kind: frameReply, id: 1, payload: appendReply(nil, &stringTable{}, &message.Reply{Failure: kind.New(kind.Shed, "x"), Load: &message.Load{}})}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) >= lengthPrefixBytes && bytes.Compare(data[:lengthPrefixBytes], []byte{0, 1, 0, 0}) > 0 {
			return
		}
		got, err := readFrame(bytes.NewReader(data), nil)
		if err != nil {
			return
		}
		var received stringTable
		_, _ = decodeCall(got, &received, time.Now())
		_, _ = decodeReply(got, &received)
	})
}

// Guards against replies that are delivered to the wrong call, and against a slow
// call that blocks others on the same connection.
func TestConcurrentCallsOnOneConnection(t *testing.T) {
	release := make(chan struct{})
	address := startServer(t, func(_ context.Context, c *message.Call) *message.Reply {
		if c.ID == "slow" {
			<-release
		}
		return &message.Reply{Response: &message.Response{Status: 200, Body: []byte(c.URI)}}
	})
	client := NewClient(address, nil)
	defer client.Close()
	var wg sync.WaitGroup
	wg.Go(func() {
		r, failure := client.Call(context.Background(), testCall("slow"))
		require.Nil(t, failure)
		require.Equal(t, "/slow", string(r.Response.Body))
	})
	for i := range 50 {
		id := strings.Repeat("x", i+1)
		r, failure := client.Call(context.Background(), testCall(id))
		require.Nil(t, failure)
		require.Equal(t, "/"+id, string(r.Response.Body))
	}
	close(release)
	wg.Wait()
	config, failure := client.Config(context.Background())
	require.Nil(t, failure)
	require.Equal(t, "config", string(config))
}

// Guards against a peer that keeps working on a call after the caller canceled it.
func TestCancelReachesThePeer(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	address := startServer(t, func(ctx context.Context, _ *message.Call) *message.Reply {
		close(started)
		<-ctx.Done()
		close(canceled)
		return &message.Reply{Failure: kind.New(kind.Canceled, "")}
	})
	client := NewClient(address, nil)
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, failure := client.Call(ctx, testCall("a"))
	require.Equal(t, kind.Canceled, failure.Kind)
	<-canceled
}

// silentPeer accepts one connection, never responds, and signals each read.
func silentPeer(t *testing.T) (address string, reads chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	reads = make(chan struct{}, 16)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		buffer := make([]byte, 4096)
		for {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			reads <- struct{}{}
		}
	}()
	return l.Addr().String(), reads
}

// checkUntil checks the peers as a process that runs does, and returns the suspects
// of the last check.
func checkUntil(pool *Pool, from, to time.Time) (suspects []string) {
	for now := from.Add(CheckInterval); !now.After(to); now = now.Add(CheckInterval) {
		suspects = pool.Check(now)
	}
	return suspects
}

// Guards against calls that wait forever on a connection that no longer delivers
// data, and against reporting these calls as not run.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	address, reads := silentPeer(t)
	pool := NewPool(nil)
	defer pool.Close()
	failures := make(chan *kind.Error, 1)
	go func() {
		_, failure := pool.Get(address).Call(context.Background(), testCall("a"))
		failures <- failure
	}()
	<-reads
	now := time.Now()
	pool.Check(now.Add(2 * pingAfter))
	<-reads
	select {
	case <-failures:
		t.Fatal("the call failed before the peer had time to respond to the ping")
	default:
	}
	checkUntil(pool, now.Add(2*pingAfter), now.Add(2*closeAfter))
	failure := <-failures
	require.Equal(t, kind.PeerLost, failure.Kind)
	require.Equal(t, kind.MayHaveRun, failure.Run)
}

// Guards against idempotent calls that wait for a peer that lost power until no
// time is left to send them to another peer, and against failing an unsafe call
// whose response may still arrive.
func TestSilentPeerFailsIdempotentCallsFirst(t *testing.T) {
	address, reads := silentPeer(t)
	pool := NewPool(nil)
	defer pool.Close()
	call := func(unsafe bool) chan *kind.Error {
		failures := make(chan *kind.Error, 1)
		go func() {
			c := testCall("a")
			c.Unsafe = unsafe
			_, failure := pool.Get(address).Call(context.Background(), c)
			failures <- failure
		}()
		<-reads
		return failures
	}
	safe, unsafe := call(false), call(true)
	now := time.Now()
	require.Empty(t, pool.Check(now.Add(2*pingAfter)))
	<-reads
	require.Equal(t, []string{address}, checkUntil(pool, now.Add(2*pingAfter), now.Add(2*pingAfter+minPongWait)))
	require.Equal(t, kind.PeerLost, (<-safe).Kind)
	select {
	case <-unsafe:
		t.Fatal("the unsafe call failed before the connection was closed")
	case <-time.After(20 * time.Millisecond):
	}
	checkUntil(pool, now.Add(2*pingAfter+minPongWait), now.Add(2*closeAfter))
	require.Equal(t, kind.MayHaveRun, (<-unsafe).Run)
}

// Guards against an unreachable peer that blocks its callers, and against reporting
// their calls as possibly run.
func TestUnreachablePeerHasNotRunTheCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	client := NewClient(address, nil)
	for range 3 {
		_, failure := client.Call(context.Background(), testCall("a"))
		require.Equal(t, kind.DialFailed, failure.Kind)
		require.Equal(t, kind.NotRun, failure.Run)
	}
	_, err = readFrame(io.LimitReader(bytes.NewReader(nil), 0), nil)
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a peer that announces a long message and thereby takes memory that
// it never fills, and against messages that together exceed the memory for bodies.
func TestAnnouncedFrameLengthAllocatesNothing(t *testing.T) {
	head := binary.BigEndian.AppendUint32(nil, maxFrameBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readFrame(bytes.NewReader(append(head, make([]byte, 100)...)), nil)
	runtime.ReadMemStats(&after)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
	budget := bytebudget.New(4 << 20)
	_, err = readFrame(bytes.NewReader(append(head, make([]byte, 16<<20)...)), budget)
	require.ErrorIs(t, err, bytebudget.ErrExhausted)
	require.Zero(t, budget.Used())
}

// Guards against calls that are lost when a member leaves: its announcement may
// arrive while it is still working on them.
func TestRemovedPeerFinishesPendingCalls(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	address := startServer(t, func(context.Context, *message.Call) *message.Reply {
		close(started)
		<-release
		return &message.Reply{Response: &message.Response{Status: 200}}
	})
	pool := NewPool(nil)
	defer pool.Close()
	failure := make(chan *kind.Error)
	go func() {
		_, err := pool.Get(address).Call(context.Background(), testCall("a"))
		failure <- err
	}()
	<-started
	pool.Remove(address)
	close(release)
	require.Nil(t, <-failure)
	require.Eventually(t, func() bool {
		pool.Check(time.Now())
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.retired) == 0
	}, testTimeout, time.Millisecond)
}

// Guards against calls that are lost when a node ends: those that cross its
// announcement are served, and later ones are known not to have run.
func TestNoCallIsLostWhileServerDrains(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var served atomic.Int32
	s := &Server{Handle: func(context.Context, *message.Call) *message.Reply {
		served.Add(1)
		return &message.Reply{Response: &message.Response{Status: 200}}
	}}
	go s.Serve(l)
	client := NewClient(l.Addr().String(), nil)
	defer client.Close()
	var calls sync.WaitGroup
	failures := make(chan *kind.Error, 16)
	for range cap(failures) {
		calls.Go(func() {
			for {
				if _, failure := client.Call(context.Background(), testCall("a")); failure != nil {
					failures <- failure
					return
				}
			}
		})
	}
	require.Eventually(t, func() bool { return served.Load() > 100 }, testTimeout, time.Millisecond)
	s.Drain(testTimeout)
	require.Zero(t, s.connections(), "the client closes its connection when it is done")
	s.Stop()
	calls.Wait()
	close(failures)
	for failure := range failures {
		require.Equal(t, kind.NotRun, failure.Run, failure.Error())
	}
}
