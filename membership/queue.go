package membership

// maxSends bounds how often a node sends one update.
const maxSends = 64

// queue holds rumors of one urgency, those sent least often first.
type queue struct {
	levels [maxSends][]item
	size   int
}

func (q *queue) push(level int, i item) {
	q.levels[level] = append(q.levels[level], i)
	q.size++
}

// take offers items to fit until it refuses one, and drops items of news older
// than oldest. Items that it accepts move up
// by one send plus the copies heard, and leave the queue at limit sends.
func (q *queue) take(limit int, oldest int64, fit func(item) bool) {
	type raised struct {
		level int
		item  item
	}
	var moved []raised
	for level := 0; level < maxSends && q.size > 0; level++ {
		items := q.levels[level]
		next := 0
		full := false
		for next < len(items) {
			i := items[next]
			r := i.rumor()
			if !i.current() {
				next++
				continue
			}
			if r.since < oldest {
				r.queued = false
				next++
				continue
			}
			target := level + int(r.heard)
			if target < limit {
				if !fit(i) {
					full = true
					break
				}
				target++
			}
			r.heard = 0
			next++
			if target >= limit {
				r.queued = false
				continue
			}
			moved = append(moved, raised{target, i})
		}
		q.size -= next
		if next == len(items) {
			q.levels[level] = items[:0]
		} else {
			q.levels[level] = items[next:]
		}
		if full {
			break
		}
	}
	for _, m := range moved {
		q.push(m.level, m.item)
	}
}

// sweep drops items that no longer stand for the latest news.
func (q *queue) sweep() {
	q.size = 0
	for level, items := range q.levels {
		kept := items[:0]
		for _, i := range items {
			if i.current() {
				kept = append(kept, i)
			}
		}
		clear(items[len(kept):])
		q.levels[level] = kept
		q.size += len(kept)
	}
}
