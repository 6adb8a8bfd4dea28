package node

import (
	"testing"

	"github.com/goldcrestsail/goldcrestsail/internal/standin/target"
)

// Guards against a panic when a second signal closes a node whose drain ends at
// the same time and closes it as well.
func TestCloseTwice(t *testing.T) {
	f := newFixture(t)
	n, _ := f.add(target.Config{Service: "front"})
	n.Close()
	n.Close()
}
