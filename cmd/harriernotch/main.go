// Harriernotch is the command-line tool for operators.
package main

import (
	"fmt"
	"os"

	"github.com/harriernotch/harriernotch/internal/cli"
	"github.com/harriernotch/harriernotch/platform/standin"
)

func main() {
	if err := cli.NewToolCommand(standin.Protocol{}).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "harriernotch:", err)
		os.Exit(1)
	}
}
