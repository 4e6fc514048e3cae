package cli

import (
	"github.com/spf13/cobra"
)

// NewToolCommand returns the commands of harriernotch.
func NewToolCommand() *cobra.Command {
	command := &cobra.Command{
		Use:           "harriernotch",
		Short:         "Operate a router fleet: bundles, status, reports and simulations",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(newBundleCommand(), newStatusCommand(), newLoadCommand(), newSimulateCommand(), newReportCommand(), newExplainCommand())
	return command
}
