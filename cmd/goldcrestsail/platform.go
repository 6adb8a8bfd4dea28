package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/goldcrestsail/goldcrestsail/platform"
)

func newPlatformNodeCommand() *command {
	path := os.Getenv(platform.SettingsVariable)
	sub := flaggy.NewSubcommand("platform-node")
	sub.Description = "Run the node of a deployment with published routes."
	sub.String(&path, "", "settings", "Settings file, JSON with comments; defaults to the value of "+platform.SettingsVariable+".")
	return &command{sub: sub, run: func() int {
		if path == "" {
			return fail(fmt.Errorf("%w: --settings is required", errUsage))
		}
		if err := platform.Run(path); err != nil {
			return fail(err)
		}
		return exitOK
	}}
}
