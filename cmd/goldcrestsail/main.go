// Command goldcrestsail runs a node beside a target instance, and provides the
// operator commands.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

const version = "0.1.0"

// Exit codes of all commands.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is a subcommand. Its flags are attached to sub.
type command struct {
	sub *flaggy.Subcommand
	run func() int
	// takesFiles reports whether trailing arguments are accepted as file names;
	// nil accepts none.
	takesFiles func() bool
}

// errUsage marks an error that exits with exitUsage.
var errUsage = errors.New("usage error")

func main() { os.Exit(run()) }

// run parses the command line and runs the command that it names.
func run() int {
	parser := flaggy.NewParser("goldcrestsail")
	parser.Description = "Overload control for service call graphs."
	parser.Version = version
	parser.ShowHelpOnUnexpected = false
	commands := []*command{newNodeCommand(), newPlatformNodeCommand(), newExplainCommand(func() []string { return parser.TrailingArguments }), newConfigCommand(func() []string { return parser.TrailingArguments }), newDumpCommand(), newDrainCommand(), newReplayCommand(), newDemoCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if rest := parser.TrailingArguments; len(rest) > 0 && (c.takesFiles == nil || !c.takesFiles()) {
			fmt.Fprintf(os.Stderr, "unexpected argument %q\n", rest[0])
			return exitUsage
		}
		return c.run()
	}
	parser.ShowHelp()
	return exitUsage
}

// fail prints an error on stderr and returns its exit code.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailure
}
