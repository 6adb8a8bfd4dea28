package membership

// maxSends bounds how often a node sends one update.
const maxSends = 64

// queue holds the updates of one urgency, ordered by how often they were sent.
type queue struct {
	bySendCount [maxSends][]queueItem
	// size counts all items, including stale ones.
	size int
}

func (q *queue) push(sendCount int, i queueItem) {
	q.bySendCount[sendCount] = append(q.bySendCount[sendCount], i)
	q.size++
}

// offer passes items to tryAdd, those sent least often first, until it returns
// false. The send count of an accepted item grows by one plus the number of
// duplicates received. Items are removed once the count reaches limit, and when
// they were queued before oldestNs (Unix nanoseconds).
func (q *queue) offer(limit int, oldestNs int64, tryAdd func(queueItem) bool) {
	type resent struct {
		sendCount int
		item      queueItem
	}
	var requeue []resent
	for sendCount := 0; sendCount < maxSends && q.size > 0; sendCount++ {
		items := q.bySendCount[sendCount]
		next := 0
		refused := false
		for next < len(items) {
			i := items[next]
			r := i.rumor()
			if !i.isCurrent() {
				next++
				continue
			}
			if r.queuedAtNs < oldestNs {
				r.queued = false
				next++
				continue
			}
			nextCount := sendCount + int(r.duplicates)
			if nextCount < limit {
				if !tryAdd(i) {
					refused = true
					break
				}
				nextCount++
			}
			r.duplicates = 0
			next++
			if nextCount >= limit {
				r.queued = false
				continue
			}
			requeue = append(requeue, resent{nextCount, i})
		}
		q.size -= next
		if next == len(items) {
			q.bySendCount[sendCount] = items[:0]
		} else {
			q.bySendCount[sendCount] = items[next:]
		}
		if refused {
			break
		}
	}
	for _, m := range requeue {
		q.push(m.sendCount, m.item)
	}
}

// removeStale removes the items that a newer update has replaced.
func (q *queue) removeStale() {
	q.size = 0
	for sendCount, items := range q.bySendCount {
		kept := items[:0]
		for _, i := range items {
			if i.isCurrent() {
				kept = append(kept, i)
			}
		}
		clear(items[len(kept):])
		q.bySendCount[sendCount] = kept
		q.size += len(kept)
	}
}
