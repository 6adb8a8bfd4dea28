package main

import (
	"os"

	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/internal/replay"
)

func newReplayCommand() *command {
	var path string
	sub := flaggy.NewSubcommand("replay")
	sub.Description = "Replay a trace through the decision packages and the naive baseline."
	sub.AddPositionalValue(&path, "TRACE", 1, true, "Trace file; its outcomes file is read from the same directory.")
	return &command{sub: sub, run: func() int {
		ok, err := replay.Run(os.Stdout, path)
		if err != nil {
			return fail(err)
		}
		if !ok {
			return exitFailure
		}
		return exitOK
	}}
}
