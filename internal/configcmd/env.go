// Package configcmd holds the operator's commands that check, publish and show
// configuration. Each command writes to the given writers and returns its exit
// code.
package configcmd

import (
	"fmt"
	"io"
	"net/url"

	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// Exit codes of the commands.
const (
	ExitOK = 0
	// ExitFailure means that a file has faults, a change was rejected, or the
	// log service could not be used.
	ExitFailure = 1
	// ExitUsage means that the arguments are wrong; nothing was done.
	ExitUsage = 2
)

// Env is what the commands use of their surroundings.
type Env struct {
	Stdout, Stderr io.Writer
	// NewClient makes the client for a log URL, by default an HTTP client.
	NewClient func(url string) logservice.Client
}

func (e *Env) printf(format string, args ...any) { _, _ = fmt.Fprintf(e.Stdout, format+"\n", args...) }
func (e *Env) errorf(format string, args ...any) { _, _ = fmt.Fprintf(e.Stderr, format+"\n", args...) }

func (e *Env) usage(format string, args ...any) int {
	e.errorf(format, args...)
	return ExitUsage
}

// client returns the client for the URL, or nil after it reported a wrong URL.
func (e *Env) client(logURL string) logservice.Client {
	u, err := url.Parse(logURL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		e.errorf("--log: %q is not allowed, want the URL of the log service, such as http://127.0.0.1:8090", logURL)
		return nil
	}
	if e.NewClient != nil {
		return e.NewClient(logURL)
	}
	return logservice.NewHTTPClient(logservice.HTTPOptions{URL: logURL})
}
