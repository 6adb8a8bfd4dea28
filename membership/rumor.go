package membership

import "time"

// maxRumorAge ends the dissemination of an update. Whoever has not heard of it
// by then learns of it through anti-entropy; without the bound, the queue left
// by a mass event would use up the whole budget for minutes after all agree.
const maxRumorAge = 60 * time.Second

// urgency orders updates for dissemination.
type urgency uint8

const (
	// urgent updates are sent in rounds of their own whenever the budget allows.
	urgent urgency = iota
	// prompt updates are sent in rounds of their own while much budget is left.
	prompt
	// routine updates travel only on datagrams that are sent anyway.
	routine
	urgencies
)

// rumor is the dissemination state of a member entry or a broadcast. Counting
// copies heard follows rumor mongering with feedback (Demers et al.: "Epidemic
// Algorithms for Replicated Database Maintenance", PODC 1987).
type rumor struct {
	// version tells the queued item of the latest news from older ones.
	version uint32
	urgency urgency
	// since is when the news came, in Unix nanoseconds.
	since int64
	// heard counts copies received since the item was last taken. Each counts
	// as one send: news that keeps coming back is already widely known.
	heard uint8
	// queued says that an item of the present version is in a queue.
	queued bool
	// full asks for the whole metadata and not only the target state.
	full bool
}

// item is a queued rumor: exactly one of member and message is set.
type item struct {
	member  *entry
	message *message
	version uint32
}

func (i item) rumor() *rumor {
	if i.member != nil {
		return &i.member.rumor
	}
	return &i.message.rumor
}

// current reports whether i still stands for the latest news.
func (i item) current() bool {
	r := i.rumor()
	return r.queued && r.version == i.version
}

// hear notes that another member sent the same news. Urgent news is sent its
// full number of times all the same: its rounds follow each other so closely
// that the copies heard say little about the members that missed it.
func (r *rumor) hear() {
	if r.queued && r.urgency != urgent && r.heard < maxSends {
		r.heard++
	}
}
