package cli

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/standin"
)

// newStandInCommand returns the command that runs one stand-in, so that a fleet of
// separate processes can be tried without the external systems.
func newStandInCommand() *cobra.Command {
	var listen string
	var models []string
	command := &cobra.Command{
		Use:       "standin platform|engine|service",
		Short:     "Run one stand-in for an external system, for trials",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"platform", "engine", "service"},
		RunE: func(cmd *cobra.Command, args []string) error {
			return serveStandIn(cmd, listen, standInHandler(args[0], models))
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "the address to serve on")
	command.Flags().StringSliceVar(&models, "model", []string{"demo-model"}, "a model that the engine serves; may be repeated")
	return command
}

func standInHandler(kind string, models []string) http.Handler {
	switch kind {
	case "platform":
		return standin.NewPlatform().Handler()
	case "engine":
		return standin.NewEngine(standin.EngineConfig{Models: models}).Handler()
	default:
		return &standin.Service{}
	}
}

func serveStandIn(cmd *cobra.Command, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "can't open the address of --listen; choose another one")
	}
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "listening on %s\n", listener.Addr()); err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	return server.Serve(listener)
}
