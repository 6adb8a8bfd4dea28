package mesh

import (
	"fmt"
	"os"
)

// testHost returns a loopback address of this process for tests that need to know their
// ports before they listen. Two runs of the tests on one machine have different ones.
func testHost(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", n, pid>>8&0xff, max(pid&0xff, 1))
}
