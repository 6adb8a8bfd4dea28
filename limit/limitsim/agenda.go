package limitsim

import (
	"container/heap"
	"time"

	"github.com/goldcrestsail/goldcrestsail/admission"
)

type eventKind int

const (
	arrival eventKind = iota
	tick
	finish
	leave
	giveUp
)

type event struct {
	at   time.Duration
	kind eventKind
	id   admission.ID
}

// agenda orders events by time.
type agenda []event

func (a *agenda) add(at time.Duration, k eventKind, id admission.ID) {
	heap.Push(a, event{at, k, id})
}

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
