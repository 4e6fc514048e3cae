// Harriernotchd runs one node of the fleet: a router, an agent or a gateway.
package main

import (
	"fmt"
	"os"

	"github.com/harriernotch/harriernotch/internal/cli"
	"github.com/harriernotch/harriernotch/internal/earlysignal"
	"github.com/harriernotch/harriernotch/internal/logqueue"
	"github.com/harriernotch/harriernotch/platform"
	"github.com/harriernotch/harriernotch/platform/standin"
)

func main() {
	command := cli.NewDaemonCommand(cli.Platform{
		Adapter:      platform.Adapter{},
		Protocol:     standin.Protocol{},
		SettingsPath: platform.SettingsPath(),

		Stops:          earlysignal.Stops(),
		Reloads:        earlysignal.Reloads(),
		ReleaseSignals: earlysignal.Release,
	})
	if err := command.Execute(); err != nil {
		report(err)
		os.Exit(1)
	}
}

// report writes an error to the standard error. It doesn't wait for long if that blocks.
func report(err error) {
	output := logqueue.New(os.Stderr, func() {})
	_, _ = fmt.Fprintln(output, "harriernotchd:", err) // the queue takes every line
	output.Close()
}
