package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// expiringKey is a key that is removed at the given time.
type expiringKey struct {
	local *localKey
	at    time.Duration
}

// expiringNonce is a released claim that is removed at the given time.
type expiringNonce struct {
	nonce uint64
	at    time.Duration
}

// retryItem is an append that is retried at the given time.
type retryItem struct {
	ref AppendRef
	at  time.Duration
}

// Seed holds the random input of a Machine.
type Seed struct {
	// Secret authenticates issued keys.
	Secret [32]byte
	// Nonce is where nonces start. It is random so that a second Machine in the
	// same process does not reuse the nonces of the first.
	Nonce uint64
}

// Machine is the state machine of one service in one process. It is not safe for
// concurrent use.
type Machine struct {
	cfg    Config
	self   ProcessID
	index  *ClaimIndex
	issuer issuer

	local     map[KeyHash]*localKey
	attempts  map[uint64]*localKey
	tokens    map[uint64]*localKey
	queries   map[uint64]*localKey
	responses responseStore
	released  map[uint64]*releasedClaim
	lastNonce uint64
	lastToken uint64
	lastQuery uint64

	expiring       fifo[expiringKey]
	expiringNonces fifo[expiringNonce]
	retries        fifo[retryItem]

	caughtUp    bool
	readFailing bool
	// nextProbeAt is when the next claim may be attempted after a failed append.
	nextProbeAt  time.Duration
	appendFailed bool
	// appendsInFlight counts appends without a result.
	appendsInFlight int
	// lastRecordAt is when the newest record was read.
	lastRecordAt      time.Duration
	nextHeartbeatAt   time.Duration
	heartbeatInFlight bool

	now     time.Duration
	effects []Effect
}

// NewMachine returns a Machine for process self that has read no records. cfg
// must be valid.
func NewMachine(cfg Config, self ProcessID, seed Seed) *Machine {
	return &Machine{cfg: cfg, self: self, index: NewClaimIndex(cfg),
		issuer: issuer{self: self, secret: seed.Secret}, lastNonce: seed.Nonce,
		local: map[KeyHash]*localKey{}, attempts: map[uint64]*localKey{}, tokens: map[uint64]*localKey{},
		queries: map[uint64]*localKey{}, released: map[uint64]*releasedClaim{},
		responses: responseStore{max: cfg.MaxResponseBytes, entries: map[KeyHash]storedResponse{}}}
}

// Next returns the offset from which to read.
func (m *Machine) Next() uint64 { return m.index.next }

// Ready reports whether the stream has been read to its end and is readable.
func (m *Machine) Ready() bool { return m.caughtUp && !m.readFailing && !m.index.gap }

// Window returns Config.Window.
func (m *Machine) Window() time.Duration { return m.cfg.Window }

// SetWindow changes Config.Window. A longer window applies to a key only if all
// claims since the key's time are known.
func (m *Machine) SetWindow(window time.Duration) {
	m.cfg.Window = window
	m.index.cfg.Window = window
}

// IssueKey issues a new key. now is the time since process start on the monotonic
// clock, as in Step.
func (m *Machine) IssueKey(now time.Duration) string { return m.issuer.issue(now) }

// Step applies one event and returns the resulting effects in order. now is the
// time since process start on the monotonic clock; it must not decrease.
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
	case ResponseLost:
		m.responseLost(e.Token)
	case OwnerReply:
		m.ownerReply(e)
	case OutcomeQuery:
		m.outcomeQuery(e)
	case OutcomeQueryTimeout:
		m.outcomeQueryTimeout(e.ID)
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

// retention is how long a finished key is kept: at least as long as other
// processes keep its claim in their index.
func (m *Machine) retention() time.Duration {
	return m.cfg.Window + m.cfg.Skew + 2*m.cfg.MaxLogClockStep
}

// Dump returns the state of the machine.
func (m *Machine) Dump() Dump {
	d := Dump{Next: m.index.next, CaughtUp: m.caughtUp, CompleteSince: timeFromMS(m.index.completeSinceMS),
		AcceptingKeys: m.caughtUp && !m.index.gap, LogTime: timeFromMS(m.index.latestMS),
		ClaimedKeys: len(m.index.keys), LocalKeys: len(m.local), RunningKeys: len(m.tokens),
		Responses: len(m.responses.entries), ResponseBytes: m.responses.bytes, EvictedResponses: m.responses.evicted,
		BadRecords: m.index.badRecords, Gaps: m.index.gaps, ClockSteps: m.index.clockSteps}
	for _, r := range m.released {
		if !r.confirmed {
			d.PendingReleases++
		}
	}
	return d
}
