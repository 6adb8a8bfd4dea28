package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// expiringKey is an entry of the queue of keys to forget.
type expiringKey struct {
	local *localKey
	at    time.Duration
}

// expiringNonce is an entry of the queue of released claims to forget.
type expiringNonce struct {
	nonce uint64
	at    time.Duration
}

// retryItem is an append to repeat.
type retryItem struct {
	ref AppendRef
	at  time.Duration
}

// Seed is the randomness of a Machine.
type Seed struct {
	// Secret authenticates issued keys.
	Secret [32]byte
	// Nonce is where nonces start, so that a second machine of the same
	// process does not repeat them.
	Nonce uint64
}

// Machine is the state machine of one service in one process. It is not safe
// for concurrent use.
type Machine struct {
	cfg    Config
	self   ProcessID
	fold   *Fold
	issuer issuer

	local     map[KeyHash]*localKey
	attempts  map[uint64]*localKey
	tokens    map[uint64]*localKey
	questions map[uint64]*localKey
	responses responseStore
	released  map[uint64]*releasedClaim
	lastNonce uint64
	lastToken uint64
	lastAsk   uint64

	expiring       fifo[expiringKey]
	expiringNonces fifo[expiringNonce]
	retries        fifo[retryItem]

	caughtUp    bool
	readFailing bool
	// probeAt is when the next claim may be tried after a failed append.
	probeAt      time.Duration
	appendFailed bool
	// inFlight counts appends that are not answered.
	inFlight int
	// recordAt is when the newest record was read.
	recordAt     time.Duration
	tickAt       time.Duration
	tickInFlight bool

	now     time.Duration
	effects []Effect
}

// NewMachine returns the machine of process self for an empty stream. cfg must
// be valid.
func NewMachine(cfg Config, self ProcessID, seed Seed) *Machine {
	return &Machine{cfg: cfg, self: self, fold: NewFold(cfg),
		issuer: issuer{self: self, secret: seed.Secret}, lastNonce: seed.Nonce,
		local: map[KeyHash]*localKey{}, attempts: map[uint64]*localKey{}, tokens: map[uint64]*localKey{},
		questions: map[uint64]*localKey{}, released: map[uint64]*releasedClaim{},
		responses: responseStore{max: cfg.MaxResponseBytes, entries: map[KeyHash]storedBytes{}}}
}

// Next returns the offset to read from.
func (m *Machine) Next() uint64 { return m.fold.next }

// Ready reports whether the stream was read to its end and can be read.
func (m *Machine) Ready() bool { return m.caughtUp && !m.readFailing && !m.fold.gap }

// Window returns Config.Window.
func (m *Machine) Window() time.Duration { return m.cfg.Window }

// SetWindow changes Config.Window. A longer window is honoured for a key only
// when all claims since the key's time are known.
func (m *Machine) SetWindow(window time.Duration) {
	m.cfg.Window = window
	m.fold.cfg.Window = window
}

// IssueKey returns a new issued key. now is the time since the start of the
// process on its monotonic clock, as in Step.
func (m *Machine) IssueKey(now time.Duration) string { return m.issuer.issue(now) }

// Step applies one event at the time now and returns what is to be done, in
// order. now is the time since the start of the process on its monotonic
// clock; it must not decrease.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.now = max(m.now, now)
	m.effects = nil
	switch e := event.(type) {
	case Request:
		m.request(e)
	case Cancel:
		m.cancel(e.Attempt)
	case ClaimTimeout:
		m.claimTimeout(e)
	case Records:
		m.records(e)
	case ReadFailed:
		m.readFailing = true
	case AppendDone:
		m.appendDone(e.Ref)
	case AppendFailed:
		m.appendFailure(e.Ref)
	case Write:
		m.write(e.Token)
	case Finish:
		m.finish(e.Token, e.Response)
	case Release:
		m.release(e.Token)
	case Lost:
		m.lost(e.Token)
	case Answer:
		m.answer(e)
	case Question:
		m.question(e)
	case QuestionTimeout:
		m.questionTimeout(e.ID)
	case Tick:
		m.tick()
	}
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) refuse(attempt uint64, err *kind.Error) {
	m.emit(Respond{Attempt: attempt, Err: err})
}

// memory is how long an ended key is remembered: at least as long as the
// claim is kept by the folds of other processes.
func (m *Machine) memory() time.Duration {
	return m.cfg.Window + m.cfg.Skew + 2*m.cfg.LogStep
}

// Dump returns the state of the machine.
func (m *Machine) Dump() Dump {
	d := Dump{Next: m.fold.next, CaughtUp: m.caughtUp, CompleteSince: msTime(m.fold.floorMS),
		Judging: m.caughtUp && !m.fold.gap, LogTime: msTime(m.fold.highMS),
		ClaimedKeys: len(m.fold.keys), LocalKeys: len(m.local), RunningKeys: len(m.tokens),
		Responses: len(m.responses.entries), ResponseBytes: m.responses.bytes, EvictedResponses: m.responses.evicted,
		BadRecords: m.fold.badRecords, Gaps: m.fold.gaps, ClockSteps: m.fold.clockSteps}
	for _, r := range m.released {
		if !r.seen {
			d.PendingReleases++
		}
	}
	return d
}
