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

// Guard makes sure that requests of the non-idempotent classes of one service
// take effect at most once per key. It is safe for concurrent use.
type Guard struct {
	options  Options
	appender Appender
	// group is the appender when the guard made it.
	group *GroupAppender
	start time.Time
	// background ends with Run; appends and questions run under it.
	background context.Context
	cancel     context.CancelFunc
	work       sync.WaitGroup
	// atEnd reports that the last read succeeded and reached the end of the
	// stream. Only the goroutine of Run uses it.
	atEnd bool

	mu        sync.Mutex
	machine   *idempotency.Machine
	responses map[uint64]chan idempotency.Respond
	replies   map[uint64]chan idempotency.Outcome
	lastID    uint64
	stopped   bool
}

// NewGuard returns a guard. Run must be running for client keys to be served;
// issued keys need only the guard. The error has kind settings-invalid.
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
	g := &Guard{options: o, appender: o.Appender, start: time.Now(),
		machine:   idempotency.NewMachine(o.Config, o.Process, seed),
		responses: map[uint64]chan idempotency.Respond{}, replies: map[uint64]chan idempotency.Outcome{}}
	if g.appender == nil {
		g.group = NewGroupAppender(o.Log, Stream(o.Service), o.AppendInterval, o.ClaimTimeout)
		g.appender = g.group
	}
	g.background, g.cancel = context.WithCancel(context.Background())
	return g, nil
}

// step applies one event and starts what it asks for. It reports whether a
// write was allowed.
func (g *Guard) step(e idempotency.Event) (allowed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, effect := range g.machine.Step(time.Since(g.start), e) {
		switch effect := effect.(type) {
		case idempotency.Append:
			g.startAppend(effect)
		case idempotency.QueryOwner:
			g.startAsk(effect)
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
		g.work.Go(func() { f(g.background) })
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

func (g *Guard) startAsk(e idempotency.QueryOwner) {
	g.spawn(func(ctx context.Context) {
		ctxwait.For(ctx, e.Delay)
		// The owner answers within AskWait; the rest is for the network.
		ctx, cancel := context.WithTimeout(ctx, g.options.AskWait+g.options.ClaimTimeout)
		defer cancel()
		outcome, err := g.options.Asker.AskOutcome(ctx, e.Owner, e.Ref.Bytes(), g.options.AskWait)
		if err != nil {
			g.options.Logger.Debug("owner of a claim not reached", "service", g.options.Service.String(),
				"owner", e.Owner.String(), "error", err)
			outcome = idempotency.Outcome{}
		}
		g.step(idempotency.OwnerReply{ID: e.ID, Ref: e.Ref, Outcome: outcome})
	})
}

// Begin decides what to do with a request of a non-idempotent class.
// fingerprint identifies the request without its key; the same key with
// another fingerprint is refused. Begin waits while the same key is running,
// here or at another process, until ctx ends.
//
// The errors have these kinds: key-required, key-malformed, key-reused,
// claim-unavailable (all not run), key-expired, claim-lost (may have run),
// deadline-expired (with the run state of the error) and already-ran. Not run
// refers to this attempt: it was not sent to the target and never will be. An
// earlier attempt with the same key may have run.
func (g *Guard) Begin(ctx context.Context, key string, fingerprint uint64) (Verdict, error) {
	if key == "" {
		return Verdict{}, kind.New(kind.KeyRequired, "the class is non-idempotent")
	}
	parsed, err := idempotency.ParseKey(key)
	if err != nil {
		return Verdict{}, err
	}
	if ctx.Err() != nil {
		return Verdict{}, deadlineNotRun()
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
		return Verdict{}, deadlineNotRun()
	}
	return Verdict{Token: token}, nil
}

func deadlineNotRun() error {
	return kind.New(kind.DeadlineExpired, "the deadline passed before the request was sent").WithRun(kind.NotRun)
}

// register adds a channel for one answer under a new ID.
func register[T any](g *Guard, to map[uint64]chan T) (uint64, chan T) {
	answer := make(chan T, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	to[g.lastID] = answer
	return g.lastID, answer
}

// Outcome serves a question of another process. ref is what that process sent
// through its OutcomeAsker, owner the process that it means. While the request
// is running, Outcome waits up to wait.
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

// IssueKeys returns n keys bound to this process and for how long it
// remembers them. The error has kind malformed when n is not in
// 1..MaxIssueKeys.
func (g *Guard) IssueKeys(n int) (keys []string, valid time.Duration, err error) {
	if n < 1 || n > MaxIssueKeys {
		return nil, 0, &kind.Error{Kind: kind.Malformed, Run: kind.NotRun, Fields: []kind.FieldError{
			{Field: "count", Value: strconv.Itoa(n), Allowed: "1 to " + strconv.Itoa(MaxIssueKeys)}}}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for range n {
		keys = append(keys, g.machine.IssueKey(time.Since(g.start)))
	}
	return keys, g.machine.Window(), nil
}

// Dump returns the state of the guard for operators.
func (g *Guard) Dump() idempotency.Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Dump()
}

// Ready reports whether the claims stream was read to its end and is followed,
// so that new client keys can be judged. It does not say that every key can:
// after a gap, keys from before the gap are refused.
func (g *Guard) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Ready()
}

// SetAppendInterval changes the interval of the guard's own GroupAppender, for
// instance when the number of nodes that share the append rate changes.
func (g *Guard) SetAppendInterval(interval time.Duration) {
	if g.group != nil {
		g.group.SetInterval(interval)
	}
}

// SetWindow changes the window when the policy changes. A longer window is
// honoured for a key only when the claims since the key's time are known. The
// error has kind settings-invalid.
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
