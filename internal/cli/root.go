package cli

import (
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/soak"
)

// NewToolCommand returns the commands of harriernotch. wire speaks the protocol of
// the platform that gateways run on, for stand-ins.
func NewToolCommand(wire soak.Wire) *cobra.Command {
	command := &cobra.Command{
		Use:           "harriernotch",
		Short:         "Operate a router fleet: bundles, status, reports and simulations",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(newBundleCommand(), newStatusCommand(), newLoadCommand(), newSimulateCommand(), newReportCommand(), newExplainCommand(), newSoakCommand(wire))
	return command
}
