package membership

import "time"

// maxRumorAge is how long an update is disseminated. Members that have not
// received it by then get it through anti-entropy. Without this bound, the queue
// that a mass event leaves would use up the send budget for minutes after all
// members agree.
const maxRumorAge = 60 * time.Second

// urgencyLevel orders updates for dissemination; lower values are sent first.
type urgencyLevel uint8

const (
	// urgent updates trigger update rounds whenever the budget allows.
	urgent urgencyLevel = iota
	// prompt updates trigger update rounds while the budget exceeds a reserve.
	prompt
	// routine updates are only added to datagrams that are sent anyway.
	routine
	urgencyCount
)

// rumor is the dissemination state of a member entry or a broadcast. Counting
// received duplicates follows rumor mongering with feedback (Demers et al.:
// "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987).
type rumor struct {
	// version identifies the latest update; queue items of older versions are
	// stale.
	version uint32
	urgency urgencyLevel
	// queuedAtNs is when the latest update was queued, in Unix nanoseconds.
	queuedAtNs int64
	// duplicates counts the copies received from other members since the update
	// was last sent. Each counts as one send, because an update that is received
	// repeatedly is already widely known.
	duplicates uint8
	// queued is true while an item of the current version is in a queue.
	queued bool
	// sendFullMeta is true if the update must contain the full metadata and not
	// only the target state.
	sendFullMeta bool
}

// queueItem is a queued update: exactly one of member and broadcast is set.
type queueItem struct {
	member    *entry
	broadcast *broadcastRecord
	version   uint32
}

func (i queueItem) rumor() *rumor {
	if i.member != nil {
		return &i.member.rumor
	}
	return &i.broadcast.rumor
}

// isCurrent reports whether i is queued for the latest version of its rumor.
func (i queueItem) isCurrent() bool {
	r := i.rumor()
	return r.queued && r.version == i.version
}

// countDuplicate records that another member sent the same update. Duplicates of
// urgent updates are not counted: update rounds follow each other so quickly
// that duplicates do not show how many members still lack the update.
func (r *rumor) countDuplicate() {
	if r.queued && r.urgency != urgent && r.duplicates < maxSends {
		r.duplicates++
	}
}
