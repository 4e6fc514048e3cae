// Harriernotchd runs one node of the router fleet.
package main

import (
	"fmt"
	"os"

	"github.com/harriernotch/harriernotch/internal/cli"
)

func main() {
	if err := cli.NewDaemonCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "harriernotchd:", err)
		os.Exit(1)
	}
}
