package mesh

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/goldcrestsail/goldcrestsail/httpconn"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/membership"
	"github.com/goldcrestsail/goldcrestsail/message"
	"github.com/goldcrestsail/goldcrestsail/pressure"
	"github.com/goldcrestsail/goldcrestsail/registration"
	"github.com/goldcrestsail/goldcrestsail/routing"
)

// Guards against a node that has been restarted beside a limited target and sends it
// as much as its slots hold until it has seen an answer. What peers know holds only for
// the same process of the target, and until the target answers itself.
func TestStartedNodeAdoptsLimitFromCalls(t *testing.T) {
	n := startDrainTestNode(t, testHost(78)+":29489")
	inForce := func() float64 { _, capacity := n.gate.Demand(); return capacity }
	report := n.target.report(time.Now())
	call := func(target uint64, rate float64) {
		n.servePeer(t.Context(), &message.Call{Service: "s", Request: message.Request{Deadline: time.Now().Add(time.Second)},
			Notice: &message.TargetNotice{Target: target, RatePerSecond: rate}})
	}
	call(targetIdentity(report)+1, 3)
	require.Zero(t, inForce(), "that is another process")
	call(targetIdentity(report), 3)
	require.EqualValues(t, 3, inForce())
	require.Equal(t, &message.TargetNotice{Target: targetIdentity(report), RatePerSecond: 3}, n.notice.message())
	call(targetIdentity(report), 2)
	require.EqualValues(t, 2, inForce())

	n.observeNotice(time.Now().Add(time.Second), report, httpconn.TargetNotice{})
	require.Zero(t, inForce(), "the target names none")
	call(targetIdentity(report), 2)
	require.Zero(t, inForce(), "the target itself has answered")

	n.observeNotice(time.Now(), report, httpconn.TargetNotice{Limited: true, RatePerSecond: 0})
	require.Positive(t, inForce(), "a target that gets nothing cannot say that it takes more")
	next := registration.Report{TargetID: "t", StartedAtMs: 2, Seq: 1, State: registration.Ready, Service: "s", Slots: 1}
	require.NoError(t, n.ReportTarget(t.Context(), next))
	require.Zero(t, inForce(), "another process has started")
}

// Guards against a limit that ends by an answer which the target made before it
// announced the limit, by single answers in between, or by a number that is none.
func TestLimitEndsOnlyByLaterAnswer(t *testing.T) {
	var notice targetNotice
	report := registration.Report{TargetID: "t", StartedAtMs: 1}
	now := time.Now()
	limited := httpconn.TargetNotice{Limited: true, RatePerSecond: 5}
	require.True(t, limitChanged(notice.observe(now, now.Add(-time.Second), report, limited)))
	require.False(t, limitChanged(notice.observe(now.Add(time.Second), now.Add(-time.Millisecond), report, httpconn.TargetNotice{})))
	require.False(t, limitChanged(notice.observe(now.Add(time.Second), now.Add(limitEndMargin), report, httpconn.TargetNotice{})))
	require.False(t, limitChanged(notice.observe(now.Add(time.Second), now.Add(time.Second), report, httpconn.TargetNotice{RateUnreadable: true})))
	require.False(t, limitChanged(notice.observe(now.Add(2*time.Second), now.Add(time.Second), report, limited)))
	require.False(t, limitChanged(notice.observe(now.Add(2*time.Second), now.Add(time.Second), report, httpconn.TargetNotice{})))
	require.True(t, limitChanged(notice.observe(now.Add(3*time.Second), now.Add(2*time.Second+2*limitEndMargin), report, httpconn.TargetNotice{})))
	_, stillLimited := notice.limit()
	require.False(t, stillLimited)
	require.False(t, limitChanged(notice.observe(now, now, registration.Report{TargetID: "t"}, limited)), "an answer of an earlier process")
}

func limitChanged(limitChanged, _ bool) bool { return limitChanged }

// Guards against chains that are refused because one target of a service has announced
// a limit while others take more: its cutoff follows from what it gets, not from what
// the service has to serve. If all are limited, their cutoffs hold.
func TestCutoffOfLimitedTargetIsLeftOutWhileOthersTakeMore(t *testing.T) {
	n := startDrainTestNode(t, testHost(78)+":29489")
	report := n.target.report(time.Now())
	limited := &message.TargetNotice{Target: 1, RatePerSecond: 2}
	other := membership.Member{ID: uuid.UUID{7}, State: membership.Alive, Meta: membership.Meta{Service: "s", PeerAddr: netip.MustParseAddrPort("127.0.0.9:1"), TargetState: membership.Ready, Slots: 4}}
	n.directory.Update(time.Now(), other)
	n.directory.Update(time.Now(), membership.Member{ID: n.id, State: membership.Alive, Meta: n.memberMeta()})
	cutoff := func() pressure.Cutoff {
		n.observeCutoffs("s", routing.TargetID(other.ID.String()), &message.Reply{Load: &message.Load{Cutoff: 0.5}, Notice: limited}, time.Now())
		n.chains.mu.Lock()
		defer n.chains.mu.Unlock()
		return n.chains.table.Cutoffs(time.Now())["s"]
	}
	n.peerNotices.observe(time.Now(), "127.0.0.9:1", &message.Reply{Notice: limited})
	require.Equal(t, pressure.AdmitAll, cutoff(), "the own target takes more")
	n.observeNotice(time.Now(), report, httpconn.TargetNotice{Limited: true, RatePerSecond: 3})
	require.Less(t, cutoff(), pressure.AdmitAll)
}

// Guards against an entry node that forgets the limit of a target since the node beside it
// has been restarted and refuses a call before it knows: nobody tells the new process then.
func TestRefusalOfStartedNodeDoesNotEndLimitOfItsTarget(t *testing.T) {
	var p peerNotices
	now := time.Now()
	limited := &message.TargetNotice{Target: 1, RatePerSecond: 3}
	p.observe(now, "peer", &message.Reply{Notice: limited, Response: &message.Response{Status: 200}})
	p.observe(now, "peer", &message.Reply{Failure: kind.New(kind.Starting, "")})
	require.Equal(t, limited, p.get(now, "peer"))
	p.observe(now, "peer", &message.Reply{Response: &message.Response{Status: 200}})
	require.Nil(t, p.get(now, "peer"), "the target has answered without a limit")
}
