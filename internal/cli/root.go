package cli

import (
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// NewToolCommand returns the commands of harriernotch. protocol is the protocol of the
// platform on which the gateways run; the soak's stand-ins use it.
func NewToolCommand(protocol wire.Protocol) *cobra.Command {
	command := &cobra.Command{
		Use:           "harriernotch",
		Short:         "Operate a router fleet: bundles, status, reports and simulations",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	command.AddCommand(newBundleCommand(), newStatusCommand(), newLoadCommand(), newSimulateCommand(), newReportCommand(), newExplainCommand(), newSoakCommand(protocol))
	return command
}
