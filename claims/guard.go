package claims

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/internal/ctxwait"
	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Guard ensures that requests in the non-idempotent classes of one service take
// effect at most once per idempotency key. It is safe for concurrent use.
type Guard struct {
	options  Options
	appender Appender
	// ownAppender is the GroupAppender that the guard created, or nil if the
	// options supplied an appender.
	ownAppender *GroupAppender
	startedAt   time.Time
	// background is the context of appends and outcome queries; it is cancelled
	// when Run ends.
	background     context.Context
	cancel         context.CancelFunc
	backgroundWork sync.WaitGroup
	// atEnd reports whether the last read succeeded and reached the end of the
	// stream. Only the goroutine of Run accesses it.
	atEnd bool

	mu      sync.Mutex
	machine *idempotency.Machine
	// responses holds the channels of waiting Begin calls, by attempt ID.
	responses map[uint64]chan idempotency.Respond
	// replies holds the channels of waiting Outcome calls, by query ID.
	replies map[uint64]chan idempotency.Outcome
	lastID  uint64
	stopped bool
}

// NewGuard returns a guard. Requests with client keys are accepted only while Run
// is running; issued keys do not need Run. The error has kind settings-invalid.
func NewGuard(o Options) (*Guard, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	var seed idempotency.Seed
	var nonce [8]byte
	if _, err := crand.Read(seed.Secret[:]); err != nil {
		return nil, kind.Class.Wrap(err)
	}
	if _, err := crand.Read(nonce[:]); err != nil {
		return nil, kind.Class.Wrap(err)
	}
	seed.Nonce = binary.BigEndian.Uint64(nonce[:])
	g := &Guard{options: o, appender: o.Appender, startedAt: time.Now(),
		machine:   idempotency.NewMachine(o.Config, o.Process, seed),
		responses: map[uint64]chan idempotency.Respond{}, replies: map[uint64]chan idempotency.Outcome{}}
	if g.appender == nil {
		g.ownAppender = NewGroupAppender(o.Log, Stream(o.Service), o.AppendInterval, o.ClaimTimeout)
		g.appender = g.ownAppender
	}
	g.background, g.cancel = context.WithCancel(context.Background())
	return g, nil
}

// step applies one event to the state machine and performs the resulting effects.
// It reports whether the machine allowed a write.
func (g *Guard) step(e idempotency.Event) (allowed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, effect := range g.machine.Step(time.Since(g.startedAt), e) {
		switch effect := effect.(type) {
		case idempotency.Append:
			g.startAppend(effect)
		case idempotency.QueryOwner:
			g.startOwnerQuery(effect)
		case idempotency.Respond:
			g.responses[effect.Attempt] <- effect
			delete(g.responses, effect.Attempt)
		case idempotency.OutcomeReply:
			g.replies[effect.ID] <- effect.Outcome
			delete(g.replies, effect.ID)
		case idempotency.AllowWrite:
			allowed = true
		}
	}
	return allowed
}

// spawn runs f in the background until Run ends. The caller holds mu.
func (g *Guard) spawn(f func(ctx context.Context)) {
	if !g.stopped {
		g.backgroundWork.Go(func() { f(g.background) })
	}
}

func (g *Guard) startAppend(e idempotency.Append) {
	g.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 2*g.options.ClaimTimeout)
		defer cancel()
		if err := g.appender.Append(ctx, e.Data); err != nil {
			g.options.Logger.Debug("claims append failed", "service", g.options.Service.String(), "error", err)
			g.step(idempotency.AppendFailed{Ref: e.Ref})
			return
		}
		g.step(idempotency.AppendDone{Ref: e.Ref})
	})
}

func (g *Guard) startOwnerQuery(e idempotency.QueryOwner) {
	g.spawn(func(ctx context.Context) {
		ctxwait.For(ctx, e.Delay)
		// The owner answers within AskWait; the rest is for the network.
		ctx, cancel := context.WithTimeout(ctx, g.options.AskWait+g.options.ClaimTimeout)
		defer cancel()
		outcome, err := g.options.OutcomeClient.QueryOutcome(ctx, e.Owner, e.Ref.Bytes(), g.options.AskWait)
		if err != nil {
			g.options.Logger.Debug("claim owner not reachable", "service", g.options.Service.String(),
				"owner", e.Owner.String(), "error", err)
			outcome = idempotency.Outcome{}
		}
		g.step(idempotency.OwnerReply{ID: e.ID, Ref: e.Ref, Outcome: outcome})
	})
}

// Begin decides whether a request in a non-idempotent class is executed, replayed
// or refused. fingerprint identifies the request without its key; a known key with
// another fingerprint is refused. While a request with the same key is running, at
// this or another process, Begin waits until ctx ends.
//
// The error has one of these kinds: key-required, key-malformed, key-reused or
// claim-unavailable, each with run state not-run; key-expired or claim-lost, with
// run state may-have-run; deadline-expired, with the run state that the error
// carries; or already-ran. The run state not-run refers to this attempt: it was not
// sent to the target and never will be. An earlier attempt with the same key may
// have run.
func (g *Guard) Begin(ctx context.Context, key string, fingerprint uint64) (Verdict, error) {
	if key == "" {
		return Verdict{}, kind.New(kind.KeyRequired, "the class is non-idempotent")
	}
	parsed, err := idempotency.ParseKey(key)
	if err != nil {
		return Verdict{}, err
	}
	if ctx.Err() != nil {
		return Verdict{}, deadlineExpiredNotRun()
	}
	id, response := register(g, g.responses)
	g.step(idempotency.Request{Attempt: id, Key: parsed, Fingerprint: fingerprint})
	timer := time.NewTimer(g.options.ClaimTimeout)
	defer timer.Stop()
	for {
		select {
		case r := <-response:
			return g.verdict(ctx, r)
		case <-ctx.Done():
			g.step(idempotency.Cancel{Attempt: id})
			return g.verdict(ctx, <-response)
		case <-timer.C:
			g.step(idempotency.ClaimTimeout{Attempt: id, Limit: g.options.ClaimTimeout})
			timer.Reset(g.options.ClaimTimeout / 4)
		}
	}
}

func (g *Guard) verdict(ctx context.Context, r idempotency.Respond) (Verdict, error) {
	switch {
	case r.Err != nil:
		return Verdict{}, r.Err
	case r.Replayed:
		return Verdict{Replayed: true, Response: r.Response}, nil
	}
	token := &Token{guard: g, id: r.Token}
	if ctx.Err() != nil {
		token.Release()
		return Verdict{}, deadlineExpiredNotRun()
	}
	return Verdict{Token: token}, nil
}

func deadlineExpiredNotRun() error {
	return kind.New(kind.DeadlineExpired, "the deadline passed before the request was sent").WithRun(kind.NotRun)
}

// register adds a channel for one reply under a new ID.
func register[T any](g *Guard, to map[uint64]chan T) (uint64, chan T) {
	answer := make(chan T, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	to[g.lastID] = answer
	return g.lastID, answer
}

// Outcome answers an outcome query of another process. ref is the reference that
// the other process passed to its OutcomeClient, and owner the process that the
// query is for. While the request is running, Outcome waits up to wait.
func (g *Guard) Outcome(ctx context.Context, ref []byte, owner idempotency.ProcessID, wait time.Duration) idempotency.Outcome {
	claim, err := idempotency.ParseClaimRef(ref)
	if err != nil {
		return idempotency.Outcome{}
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	id, reply := register(g, g.replies)
	g.step(idempotency.OutcomeQuery{ID: id, Ref: claim, Owner: owner})
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		g.step(idempotency.OutcomeQueryTimeout{ID: id})
		return <-reply
	}
}

// IssueKeys returns n keys bound to this process, and how long they are valid. The
// error has kind malformed when n is not in 1..MaxIssueKeys.
func (g *Guard) IssueKeys(n int) (keys []string, valid time.Duration, err error) {
	if n < 1 || n > MaxIssueKeys {
		return nil, 0, &kind.Error{Kind: kind.Malformed, Run: kind.NotRun, Fields: []kind.FieldError{
			{Field: "count", Value: strconv.Itoa(n), Allowed: "1 to " + strconv.Itoa(MaxIssueKeys)}}}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for range n {
		keys = append(keys, g.machine.IssueKey(time.Since(g.startedAt)))
	}
	return keys, g.machine.Window(), nil
}

// Dump returns the state of the guard for operators.
func (g *Guard) Dump() idempotency.Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Dump()
}

// Ready reports whether the claims stream has been read to its end and is still
// being read, so that requests with new client keys can be decided. This does not
// hold for every key: after a gap in the stream, keys from before the gap are
// refused.
func (g *Guard) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Ready()
}

// SetAppendInterval changes the interval of the GroupAppender that the guard
// created, for instance when the number of nodes that share the append rate
// changes. It has no effect on an appender from the options.
func (g *Guard) SetAppendInterval(interval time.Duration) {
	if g.ownAppender != nil {
		g.ownAppender.SetInterval(interval)
	}
}

// SetWindow changes the claim window after a change of the policy. A longer window
// applies to a key only if all claims since the key's time are known. The error has
// kind settings-invalid.
func (g *Guard) SetWindow(window time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.options
	changed.Config.Window = window
	if err := changed.validate(); err != nil {
		return err
	}
	g.machine.SetWindow(window)
	return nil
}
