// Harriernotch is the operators' command-line tool.
package main

import (
	"fmt"
	"os"

	"github.com/harriernotch/harriernotch/internal/cli"
)

func main() {
	if err := cli.NewToolCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "harriernotch:", err)
		os.Exit(1)
	}
}
