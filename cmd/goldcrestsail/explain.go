package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/explain"
)

// newExplainCommand returns the command "explain", which prints the history of
// one request from the logs of several nodes. It exits with 1 when no log line
// mentions the request, and with 2 when an input cannot be read.
func newExplainCommand(trailing func() []string) *command {
	var id, first string
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "Print the history of one request from node logs: explain ID FILE -- FILE..."
	sub.AddPositionalValue(&id, "ID", 1, true, "ID of the request.")
	sub.AddPositionalValue(&first, "FILE", 2, true, "Log file of a node; further files follow --.")
	return &command{sub: sub, takesFiles: func() bool { return true }, run: func() int {
		result := &explain.Result{}
		for _, path := range append([]string{first}, trailing()...) {
			if err := explainFile(result, path, id); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return exitUsage
			}
		}
		if len(result.Lines) == 0 {
			fmt.Fprintf(os.Stderr, "no line about request %s; %d lines were not log lines\n", id, result.Skipped)
			return exitFailure
		}
		for _, line := range result.Lines {
			fmt.Println(line)
		}
		return exitOK
	}}
}

func explainFile(result *explain.Result, path, id string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return result.AddLog(path, id, file)
}
