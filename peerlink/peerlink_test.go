package peerlink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/message"
)

const eventually = 20 * time.Second

func serve(t *testing.T, handle func(context.Context, *message.Call) *message.Reply) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Handle: handle, Config: func() []byte { return []byte("config") }}
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func testCall(id string) *message.Call {
	return &message.Call{Request: message.Request{ID: id, Method: "GET", URI: "/" + id, Deadline: time.Now().Add(eventually)}, Service: "s"}
}

// wire is one direction of a connection.
type wire struct{ out, in texts }

// pass encodes a message and reads it again.
func (w *wire) pass(t require.TestingT, f frame, now time.Time) frame {
	f.payload = f.encode(nil, &w.out, now)
	got, err := readFrame(bytes.NewReader(append(appendFrame(nil, f), f.body...)))
	require.NoError(t, err)
	return got
}

// Guards against a field that is lost or changed on its way between two nodes,
// in the first message of a connection or in one that refers to those before.
func TestCallsAndRepliesSurviveTheWire(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		calls, replies := &wire{}, &wire{}
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			passBoth(t, calls, replies, now)
		}
	})
}

func passBoth(t *rapid.T, calls, replies *wire, now time.Time) {
	text := rapid.OneOf(rapid.StringN(0, 20, -1), rapid.SampledFrom([]string{"", "a", "accept", strings.Repeat("x", 2*maxTextBytes)}))
	header := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message.Field {
		return message.Field{Name: text.Draw(t, "name"), Value: text.Draw(t, "value")}
	}), 0, 4)
	c := &message.Call{Service: "s" + text.Draw(t, "service"), CallerService: text.Draw(t, "caller"), Unsafe: rapid.Bool().Draw(t, "unsafe"),
		Importance: rapid.Uint8().Draw(t, "importance"), ChainLevel: rapid.Uint8().Draw(t, "level"), Admitted: rapid.Bool().Draw(t, "admitted"), Repeat: rapid.Bool().Draw(t, "repeat"),
		MaxWait: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "wait")) * time.Microsecond}
	c.ID, c.Method, c.URI, c.Host = text.Draw(t, "id"), "M"+text.Draw(t, "method"), "/"+text.Draw(t, "uri"), text.Draw(t, "host")
	c.Header, c.Body = header.Draw(t, "header"), rapid.SliceOf(rapid.Byte()).Draw(t, "body")
	c.Arrived, c.Deadline = now, now.Add(time.Duration(rapid.IntRange(0, 1e9).Draw(t, "left"))*time.Microsecond)
	got, err := decodeCall(calls.pass(t, frame{kind: frameCall, id: 7, call: c, body: c.Body}, now), &calls.in, now)
	require.NoError(t, err)
	got.Body, c.Body = append([]byte{}, got.Body...), append([]byte{}, c.Body...)
	require.Equal(t, len(c.Header), len(got.Header))
	got.Header, c.Header = append([]message.Field{}, got.Header...), append([]message.Field{}, c.Header...)
	require.Equal(t, c, got)

	r := &message.Reply{DependencyFailed: rapid.Bool().Draw(t, "dependency")}
	if rapid.Bool().Draw(t, "failed") {
		r.Failure = &kind.Error{Kind: kind.Shed, Run: kind.NotRun, Detail: text.Draw(t, "detail"), RetryAfter: time.Second}
	} else {
		r.Response = &message.Response{Status: rapid.IntRange(200, 599).Draw(t, "status"), FromTarget: true, Body: []byte{}, Header: header.Draw(t, "response header")}
	}
	r.Load = &message.Load{Running: 1, Waiting: rapid.Uint32().Draw(t, "waiting"), Limit: 3, Level: 4, Cutoff: 2.5, ServiceTime: time.Millisecond, ByImportance: []uint32{1, 0, 2}}
	r.OwnTime = time.Duration(rapid.IntRange(0, 1e6).Draw(t, "own time")) * time.Microsecond
	r.Visited = []message.Visit{{Service: text.Draw(t, "visited"), Runs: rapid.Uint32Range(0, 1000).Draw(t, "runs")}}
	r.Cutoffs = []message.ServiceCutoff{{Service: "b", Cutoff: 0.25, Age: 5 * time.Millisecond}}
	back, err := decodeReply(replies.pass(t, frame{kind: frameReply, id: 7, reply: r}, now), &replies.in)
	require.NoError(t, err)
	if r.Response != nil && len(r.Response.Header) == 0 {
		r.Response.Header = nil
	}
	require.Equal(t, r, back)
}

// Guards against names that are sent in full with every message although bytes
// between failure domains are dear: from the second message on, what repeats
// takes less than half of its length.
func TestRepeatedTextsAreShort(t *testing.T) {
	c := testCall("a")
	c.Host, c.Service, c.CallerService = "huka56.example", "finy80d", "gomi9c"
	c.Header = []message.Field{{Name: "User-Agent", Value: "sdk-client/1.9.3"}, {Name: "Accept", Value: "*/*"}, {Name: "Accept-Encoding", Value: "identity"}}
	var out texts
	first := len(appendCall(nil, &out, c, time.Now()))
	require.Less(t, len(appendCall(nil, &out, c, time.Now())), first/2)
}

// Guards against a peer that makes a node remember without bound.
func TestTextsAreBounded(t *testing.T) {
	var out, in texts
	for i := range 4 * maxTexts {
		header := []message.Field{{Name: fmt.Sprint("name-", i), Value: "v"}}
		var got []message.Field
		require.NoError(t, walk(out.appendHeader(nil, 1, header), func(protowire.Number, uint64) {}, func(_ protowire.Number, v []byte) error {
			return in.decodeHeader(v, &got)
		}))
		require.Equal(t, header, got)
	}
	for _, x := range []*texts{&out, &in} {
		require.LessOrEqual(t, len(x.list), maxTexts)
		require.LessOrEqual(t, len(x.last), maxTexts)
	}
}

// Guards against damaged messages that crash a node.
func FuzzDecode(f *testing.F) {
	f.Add(appendFrame(nil, frame{kind: frameCall, id: 1, payload: appendCall(nil, &texts{}, testCall("a"), time.Now())}))
	f.Add(appendFrame(nil, frame{kind: frameReply, id: 1, payload: appendReply(nil, &texts{}, &message.Reply{Failure: kind.New(kind.Shed, "x"), Load: &message.Load{}})}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) >= lengthBytes && bytes.Compare(data[:lengthBytes], []byte{0, 1, 0, 0}) > 0 {
			return
		}
		got, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		var in texts
		_, _ = decodeCall(got, &in, time.Now())
		_, _ = decodeReply(got, &in)
	})
}

// Guards against replies that reach another call, and calls that wait for one
// another on the connection of two nodes.
func TestManyCallsOnOneConnection(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(_ context.Context, c *message.Call) *message.Reply {
		if c.ID == "slow" {
			<-release
		}
		return &message.Reply{Response: &message.Response{Status: 200, Body: []byte(c.URI)}}
	})
	client := NewClient(address)
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

// Guards against work at a peer for a caller that has left.
func TestCancelReachesThePeer(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	address := serve(t, func(ctx context.Context, _ *message.Call) *message.Reply {
		close(began)
		<-ctx.Done()
		close(ended)
		return &message.Reply{Failure: kind.New(kind.Canceled, "")}
	})
	client := NewClient(address)
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-began; cancel() }()
	_, failure := client.Call(ctx, testCall("a"))
	require.Equal(t, kind.Canceled, failure.Kind)
	<-ended
}

// silentPeer accepts a connection and never answers; it reports each read.
func silentPeer(t *testing.T) (address string, read chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	read = make(chan struct{}, 16)
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
			read <- struct{}{}
		}
	}()
	return l.Addr().String(), read
}

// Guards against calls that wait for ever on a connection that has gone silent,
// and against saying that they have not run.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	address, read := silentPeer(t)
	pool := NewPool()
	defer pool.Close()
	failed := make(chan *kind.Error, 1)
	go func() {
		_, failure := pool.Get(address).Call(context.Background(), testCall("a"))
		failed <- failure
	}()
	<-read
	now := time.Now()
	pool.Check(now.Add(2 * pingAfter))
	<-read
	select {
	case <-failed:
		t.Fatal("given up before the probe had time to be answered")
	default:
	}
	pool.Check(now.Add(2 * silentAfter))
	failure := <-failed
	require.Equal(t, kind.PeerLost, failure.Kind)
	require.Equal(t, kind.MayHaveRun, failure.Run)
}

// Guards against idempotent calls that wait at a peer which has lost power until
// no time is left to send them elsewhere, and against giving up an unsafe call
// whose response may still come.
func TestIdempotentCallsLeaveASilentPeer(t *testing.T) {
	address, read := silentPeer(t)
	pool := NewPool()
	defer pool.Close()
	call := func(unsafe bool) chan *kind.Error {
		failed := make(chan *kind.Error, 1)
		go func() {
			c := testCall("a")
			c.Unsafe = unsafe
			_, failure := pool.Get(address).Call(context.Background(), c)
			failed <- failure
		}()
		<-read
		return failed
	}
	safe, unsafe := call(false), call(true)
	now := time.Now()
	require.Empty(t, pool.Check(now.Add(2*pingAfter)))
	<-read
	require.Equal(t, []string{address}, pool.Check(now.Add(2*pingAfter+pongTime)))
	require.Equal(t, kind.PeerLost, (<-safe).Kind)
	select {
	case <-unsafe:
		t.Fatal("an unsafe call was given up")
	case <-time.After(20 * time.Millisecond):
	}
	pool.Check(now.Add(2 * silentAfter))
	require.Equal(t, kind.MayHaveRun, (<-unsafe).Run)
}

// Guards against a peer that is gone and holds up its callers.
func TestUnreachablePeerHasNotRunTheCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	client := NewClient(address)
	for range 3 {
		_, failure := client.Call(context.Background(), testCall("a"))
		require.Equal(t, kind.DialFailed, failure.Kind)
		require.Equal(t, kind.NotRun, failure.Run)
	}
	_, err = readFrame(io.LimitReader(bytes.NewReader(nil), 0))
	require.ErrorIs(t, err, io.EOF)
}
