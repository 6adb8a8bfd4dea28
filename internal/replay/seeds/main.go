// Command seeds prints how the figures of goldcrestsail vary between five seeds
// of each trace named on the command line, as docs/measurements-replay.md
// records them.
package main

import (
	"fmt"
	"os"

	"github.com/goldcrestsail/goldcrestsail/internal/replay"
)

const (
	seeds = 5
	// parallel leaves cores to other work on the machine.
	parallel = 5
)

func main() {
	for _, path := range os.Args[1:] {
		if err := replay.Variation(os.Stdout, path, seeds, parallel); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
