package mesh

import (
	"sync"
	"time"

	"github.com/goldcrestsail/goldcrestsail/message"
)

const (
	// peerNoticeTTL is how long a notice is kept without news of the target.
	peerNoticeTTL = 10 * time.Minute
	// maxPeerNotices exceeds the targets of a large deployment.
	maxPeerNotices = 4096
)

// peerNotices holds what the targets of other nodes have announced, by the address of
// the node, which stays the same when that node is restarted. It is safe for
// concurrent use.
type peerNotices struct {
	mu     sync.Mutex
	byPeer map[string]peerNotice
}

type peerNotice struct {
	*message.TargetNotice
	at time.Time
}

// observe records the notice in a reply of the node beside the target. Only a reply with an
// answer of the target tells that it has announced nothing: a node that has just been
// restarted refuses calls before it knows.
func (p *peerNotices) observe(now time.Time, peer string, reply *message.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	notice := reply.Notice
	if notice == nil {
		if reply.Failure == nil {
			delete(p.byPeer, peer)
		}
		return
	}
	if p.byPeer == nil || len(p.byPeer) >= maxPeerNotices {
		p.byPeer = map[string]peerNotice{}
	}
	p.byPeer[peer] = peerNotice{notice, now}
}

// get returns what the target beside a peer has announced, nil if nothing.
func (p *peerNotices) get(now time.Time, peer string) *message.TargetNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	notice, ok := p.byPeer[peer]
	if !ok || now.Sub(notice.at) > peerNoticeTTL {
		return nil
	}
	return notice.TargetNotice
}
