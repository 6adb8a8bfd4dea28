package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/dghubble/sling"
	"github.com/integrii/flaggy"
)

// adminTimeout bounds a request to a node's admin address.
const adminTimeout = 10 * time.Second

type dumpQuery struct {
	Section string `url:"section,omitempty"`
}

func newDumpCommand() *command {
	var address, section string
	sub := flaggy.NewSubcommand("dump")
	sub.Description = "Print the state of a node as JSON."
	sub.String(&address, "", "node", "Admin address of the node, as IP:PORT.")
	sub.String(&section, "", "section", "Print this section only.")
	return &command{sub: sub, run: func() int {
		if address == "" {
			return fail(fmt.Errorf("%w: --node is required", errUsage))
		}
		return sendAdminRequest(sling.New().Get("http://"+address+"/dump").QueryStruct(&dumpQuery{section}), http.StatusOK)
	}}
}

func newDrainCommand() *command {
	var address string
	sub := flaggy.NewSubcommand("drain")
	sub.Description = "Drain a node and its target; requests in progress are completed first."
	sub.String(&address, "", "node", "Admin address of the node, as IP:PORT.")
	return &command{sub: sub, run: func() int {
		if address == "" {
			return fail(fmt.Errorf("%w: --node is required", errUsage))
		}
		return sendAdminRequest(sling.New().Post("http://"+address+"/drain"), http.StatusAccepted)
	}}
}

// sendAdminRequest sends a request to a node's admin address and prints the
// response body, on stderr unless the status is wantStatus.
func sendAdminRequest(s *sling.Sling, wantStatus int) int {
	request, err := s.Request()
	if err != nil {
		return fail(fmt.Errorf("%w: %v", errUsage, err))
	}
	response, err := (&http.Client{Timeout: adminTimeout}).Do(request)
	if err != nil {
		return fail(err)
	}
	defer response.Body.Close()
	out := os.Stdout
	if response.StatusCode != wantStatus {
		out = os.Stderr
	}
	if _, err := io.Copy(out, response.Body); err != nil {
		return fail(err)
	}
	if response.StatusCode != wantStatus {
		return exitFailure
	}
	return exitOK
}
