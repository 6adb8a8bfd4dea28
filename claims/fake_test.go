package claims

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
	"github.com/goldcrestsail/goldcrestsail/policy"
)

const (
	logLatency  = 5 * time.Millisecond
	peerLatency = 2 * time.Millisecond
)

var errFake = errors.New("fake failure")

// fakeLog is an in-memory log with one stream.
type fakeLog struct {
	mu       sync.Mutex
	records  []logservice.Record
	earliest uint64
	appends  int
	changed  chan struct{}
	// down makes appends and reads fail. loseResponses makes appends take effect
	// and return an error.
	down, loseResponses bool
}

func newFakeLog() *fakeLog { return &fakeLog{changed: make(chan struct{})} }

func (l *fakeLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(_ context.Context, _ string, data ...[]byte) (uint64, error) {
	time.Sleep(logLatency)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errFake
	}
	first := uint64(len(l.records))
	for i, d := range data {
		l.records = append(l.records, logservice.Record{Offset: first + uint64(i), Time: time.Now(), Data: d})
	}
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	if l.loseResponses {
		return 0, errFake
	}
	return first, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (logservice.Batch, error) {
	deadline := time.Now().Add(wait)
	for {
		l.mu.Lock()
		down, changed := l.down, l.changed
		b := logservice.Batch{Earliest: l.earliest}
		from := max(from, l.earliest)
		if from < uint64(len(l.records)) {
			b.Records = l.records[from:min(from+uint64(limit), uint64(len(l.records)))]
		}
		b.Next = from + uint64(len(b.Records))
		l.mu.Unlock()
		if down {
			return logservice.Batch{}, errFake
		}
		if len(b.Records) > 0 || !time.Now().Before(deadline) {
			return b, nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return logservice.Batch{}, ctx.Err()
		}
	}
}

// claims returns the number of claim records in the log.
func (l *fakeLog) claims() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if rec, err := idempotency.DecodeRecord(r.Data); err == nil && rec.Type == idempotency.RecordClaim {
			n++
		}
	}
	return n
}

// fakePeers delivers outcome queries between guards without a network.
type fakePeers struct {
	mu     sync.Mutex
	guards map[idempotency.ProcessID]*Guard
	// delay is added to the latency of each query.
	delay time.Duration
}

func (p *fakePeers) QueryOutcome(ctx context.Context, owner idempotency.ProcessID, ref []byte, wait time.Duration) (idempotency.Outcome, error) {
	p.mu.Lock()
	g, delay := p.guards[owner], p.delay
	p.mu.Unlock()
	ctxwait.For(ctx, peerLatency+delay)
	if g == nil || ctx.Err() != nil {
		return idempotency.Outcome{}, errFake
	}
	return g.Outcome(ctx, ref, owner, wait), nil
}

func (p *fakePeers) remove(g *Guard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.guards, g.options.Process)
}

// cluster consists of a log and the guards of one service.
type cluster struct {
	t           *testing.T
	log         *fakeLog
	peers       *fakePeers
	ctx         context.Context
	stop        context.CancelFunc
	lastProcess byte
}

// newCluster must be called inside a synctest bubble.
func newCluster(t *testing.T) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	return &cluster{t: t, log: newFakeLog(), ctx: ctx, stop: cancel,
		peers: &fakePeers{guards: map[idempotency.ProcessID]*Guard{}}}
}

// readyGuard starts a guard and waits until it has read the stream to its end.
func (c *cluster) readyGuard() *Guard {
	g := c.startGuard()
	time.Sleep(readWait + time.Second)
	return g
}

// startGuard starts a guard with a new process ID.
func (c *cluster) startGuard() *Guard {
	c.lastProcess++
	g, err := NewGuard(Options{Service: policy.ServiceName{Customer: "qureshi", Service: "paydesk"},
		Process: uuid.UUID{15: c.lastProcess}, Log: c.log, OutcomeClient: c.peers})
	require.NoError(c.t, err)
	c.peers.mu.Lock()
	c.peers.guards[g.options.Process] = g
	c.peers.mu.Unlock()
	done := make(chan struct{})
	go func() { defer close(done); g.Run(c.ctx) }()
	c.t.Cleanup(func() { c.stop(); <-done })
	return g
}

// begin calls Begin with a timeout.
func (c *cluster) begin(g *Guard, key string, timeout time.Duration) (Verdict, *kind.Error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	v, err := g.Begin(ctx, key, 1)
	return v, kind.Of(err)
}

// execute begins a request, requires that it is to be executed, and finishes it.
func (c *cluster) execute(g *Guard, key, response string) {
	v, err := c.begin(g, key, time.Second)
	require.Nil(c.t, err)
	require.NotNil(c.t, v.Token)
	require.NoError(c.t, v.Token.MarkWritten())
	v.Token.Finish([]byte(response))
}
