package replay

import (
	"encoding/binary"
	"time"

	"github.com/goldcrestsail/goldcrestsail/idempotency"
	"github.com/goldcrestsail/goldcrestsail/kind"
)

// claimTimeout bounds the wait for the log.
const claimTimeout = 250 * time.Millisecond

// claims drives the state machine of the idempotency keys at one node.
type claims struct {
	node    *node
	self    idempotency.ProcessID
	machine *idempotency.Machine
	stream  string
	// waiting holds the requests without an outcome by attempt; asked the
	// questions of other nodes by ID.
	waiting map[uint64]*served
	asked   map[uint64]func(idempotency.Outcome)
	nextAsk uint64
	// queued holds appends until the one in flight has ended (group commit).
	queued    []idempotency.Append
	appending bool
	// allowed is set by the permission to write.
	allowed bool
}

func newClaims(n *node) *claims {
	c := &claims{
		node: n, stream: "claims." + n.target.service.Name, waiting: map[uint64]*served{},
		asked: map[uint64]func(idempotency.Outcome){},
	}
	binary.BigEndian.PutUint64(c.self[:], n.w.head.Seed)
	binary.BigEndian.PutUint64(c.self[8:], uint64(n.target.index)+1)
	var seed idempotency.Seed
	copy(seed.Secret[:], c.self[:])
	c.machine = idempotency.NewMachine(idempotency.Config{}.WithDefaults(), c.self, seed)
	s := n.layer.log.stream(c.stream)
	s.readers = append(s.readers, c.read)
	n.w.after(0, c.read)
	c.tick()
	return c
}

func (c *claims) step(e idempotency.Event) {
	for _, effect := range c.machine.Step(c.node.w.elapsed(), e) {
		switch e := effect.(type) {
		case idempotency.Append:
			c.queued = append(c.queued, e)
			c.commit()
		case idempotency.QueryOwner:
			c.node.w.after(e.Delay, func() { c.ask(e) })
		case idempotency.Respond:
			c.respond(e)
		case idempotency.AllowWrite:
			c.allowed = true
		case idempotency.OutcomeReply:
			if answer := c.asked[e.ID]; answer != nil {
				delete(c.asked, e.ID)
				answer(e.Outcome)
			}
		}
	}
}

func (c *claims) tick() {
	c.step(idempotency.Tick{})
	c.node.w.after(idempotency.DefaultRetryPause, c.tick)
}

func (c *claims) read() {
	b, ok := c.node.layer.log.read(c.stream, c.machine.Next())
	if !ok {
		c.step(idempotency.ReadFailed{})
		c.node.w.after(readRetry, c.read)
		return
	}
	c.step(idempotency.Records{Batch: b, AtEnd: true})
}

// commit appends everything that is queued with one append.
func (c *claims) commit() {
	if c.appending || len(c.queued) == 0 {
		return
	}
	batch := c.queued
	c.queued, c.appending = nil, true
	data := make([][]byte, len(batch))
	for i, a := range batch {
		data[i] = a.Data
	}
	c.node.layer.log.append(c.stream, data, func(ok bool) {
		c.appending = false
		for _, a := range batch {
			if ok {
				c.step(idempotency.AppendDone{Ref: a.Ref})
			} else {
				c.step(idempotency.AppendFailed{Ref: a.Ref})
			}
		}
		c.commit()
	})
}

// ask asks the owner of a claim for its outcome, over the latency of the link.
func (c *claims) ask(a idempotency.QueryOwner) {
	n := c.node
	answer := func(o idempotency.Outcome) { c.step(idempotency.OwnerReply{ID: a.ID, Ref: a.Ref, Outcome: o}) }
	for _, other := range n.layer.nodes {
		if other.claims == nil || other.claims.self != a.Owner {
			continue
		}
		delay, owner := n.w.latency(n.target, other.target), other.claims
		n.w.after(delay, func() {
			owner.nextAsk++
			id := owner.nextAsk
			owner.asked[id] = func(o idempotency.Outcome) { n.w.after(delay, func() { answer(o) }) }
			owner.step(idempotency.OutcomeQuery{ID: id, Ref: a.Ref, Owner: a.Owner})
			n.w.after(claimTimeout, func() { owner.step(idempotency.OutcomeQueryTimeout{ID: id}) })
		})
		return
	}
	answer(idempotency.Outcome{State: idempotency.OutcomeUnknown})
}

// begin claims the key of a request.
func (c *claims) begin(s *served) {
	key, err := idempotency.ParseKey(s.request.attempt.request.key)
	if err != nil {
		s.refuse(kind.Of(err).Kind)
		return
	}
	attempt := uint64(s.id)
	c.waiting[attempt] = s
	wait := min(claimTimeout, s.request.deadline.Sub(c.node.w.now))
	c.node.w.after(max(0, wait), func() {
		if c.waiting[attempt] == s {
			c.step(idempotency.ClaimTimeout{Attempt: attempt})
		}
	})
	c.step(idempotency.Request{Attempt: attempt, Key: key, Fingerprint: s.request.fingerprint})
}

func (c *claims) respond(e idempotency.Respond) {
	s := c.waiting[e.Attempt]
	if s == nil {
		if e.Token != 0 {
			c.step(idempotency.Release{Token: e.Token})
		}
		return
	}
	delete(c.waiting, e.Attempt)
	switch {
	case e.Err != nil:
		p := refusal(e.Err.Kind)
		p.run = e.Err.Run
		s.respond(s.reply(p, s.request.allowance, nil))
	case e.Token != 0:
		s.claim = e.Token
		s.node.offer(s)
	default:
		s.respond(s.reply(decodeReply(e.Response), s.request.allowance, nil))
	}
}

// mayWrite asks for permission to send the request to the target.
func (c *claims) mayWrite(token uint64) bool {
	c.allowed = false
	c.step(idempotency.Write{Token: token})
	return c.allowed
}

// encode returns the stored form of a response.
func (p reply) encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(p.status))
	return binary.BigEndian.AppendUint64(b, p.body)
}

func decodeReply(b []byte) reply {
	return reply{status: int(binary.BigEndian.Uint64(b)), body: binary.BigEndian.Uint64(b[8:])}
}

// issue hands out a key for a request and pins the request to this node.
func (c *claims) issue(r *request) {
	r.key = c.machine.IssueKey(c.node.w.elapsed())
	r.issuer = c.node.target
}
