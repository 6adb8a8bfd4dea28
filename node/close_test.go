package node

import (
	"testing"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// Guards against a panic when a second signal closes a node at the same time as
// the end of its drain.
func TestCloseTwice(t *testing.T) {
	f := newFixture(t)
	n, _ := f.addTarget(target.Config{Service: "front"})
	n.Close()
	n.Close()
}
