// Command measure runs one of the project's measurements and prints its
// results as Markdown tables. Run it without arguments for a list.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
)

// measurement is one entry of the list; each is registered in its own file.
type measurement struct {
	name    string
	summary string
	run     func(out io.Writer, args []string) error
}

var measurements []measurement

func register(m measurement) { measurements = append(measurements, m) }

func main() {
	slices.SortFunc(measurements, func(a, b measurement) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	if len(os.Args) >= 2 {
		for _, m := range measurements {
			if m.name != os.Args[1] {
				continue
			}
			if err := m.run(os.Stdout, os.Args[2:]); err != nil {
				fmt.Fprintln(os.Stderr, "measure:", err)
				os.Exit(1)
			}
			return
		}
	}
	fmt.Fprintln(os.Stderr, "usage: measure NAME [options]")
	for _, m := range measurements {
		fmt.Fprintf(os.Stderr, "  %s  %s\n", m.name, m.summary)
	}
	os.Exit(2)
}
