package memnet

import (
	"container/heap"
	"net/netip"
	"time"
)

// event is a delivery, or a wake-up when datagram is nil.
type event struct {
	at       time.Time
	seq      uint64
	to       *port
	from     netip.AddrPort
	datagram []byte
}

// eventHeap orders events by time and then by creation.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

var _ heap.Interface = (*eventHeap)(nil)
