// Package cli implements the commands of harriernotchd, the daemon, and of harriernotch,
// the operators' tool.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/demo"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/logqueue"
	"github.com/harriernotch/harriernotch/internal/settings"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
	"github.com/harriernotch/harriernotch/internal/telemetry"
)

// Platform is the platform on which the program's gateways run.
type Platform struct {
	// Adapter connects a gateway to the platform.
	Adapter daemon.Adapter
	// Protocol is the protocol of the platform's stand-ins.
	Protocol wire.Protocol
	// SettingsPath is the path of the settings file that the platform provides, or "".
	SettingsPath string
	// Stops and Reloads are the signals that the process has received since its start, by what they ask for.
	// ReleaseSignals restores their usual effects, for the commands that aren't daemons.
	Stops, Reloads <-chan os.Signal
	ReleaseSignals func()
}

// NewDaemonCommand returns the commands of harriernotchd.
func NewDaemonCommand(platform Platform) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:           "harriernotchd",
		Short:         "Run one node of the router fleet",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return failure.New(failure.InvalidSettings, "no settings file; name one with --config")
			}
			return run(watchSignals(cmd.Context(), platform.Stops, platform.Reloads), path, platform)
		},
	}
	command.PersistentPreRun = func(cmd *cobra.Command, _ []string) {
		if cmd != command {
			platform.ReleaseSignals()
		}
	}
	command.Flags().StringVar(&path, "config", platform.SettingsPath, "the settings file")
	command.AddCommand(newCheckConfigCommand(), newDemoCommand(platform), newStandInCommand())
	return command
}

func run(signals daemonSignals, path string, platform Platform) error {
	complaints := logqueue.New(os.Stderr, func() {}) // the final error is reported again
	s, err := loadSettings(signals.stopping, path, complaints)
	complaints.Close()
	if s == nil {
		return err // without an error, the process was told to stop
	}
	if s.Role == settings.RoleGateway {
		return runGateway(signals, path, s, platform.Adapter)
	}
	return runNode(signals, s)
}

// runNode runs a router or an agent until it is told to stop. It has no settings that a reload changes.
func runNode(signals daemonSignals, s *settings.Settings) error {
	metrics := telemetry.NewMetrics()
	output := logqueue.New(os.Stderr, func() { metrics.Scope.Counter("log_lines_dropped").Inc(1) })
	defer output.Close()
	log, err := telemetry.NewLogger(output, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	daemon.TuneGC()
	node, err := daemon.Start(s, daemon.Environment{Log: log, Metrics: metrics, Starting: signals.stopping})
	if signals.stopping.Err() != nil && err != nil {
		return nil // told to stop before it had started
	}
	if err != nil {
		return err
	}
	<-signals.stopping.Done()
	drain, cancel := context.WithTimeout(context.Background(), s.DrainTimeout.Std())
	defer cancel()
	node.Stop(drain)
	return nil
}

func newCheckConfigCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a settings file and report every problem with its remedy",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of %s %s are in order\n", args[0], s.Role, s.ID)
			return err
		},
	}
}

// Values of the demo's flag --fleet.
const (
	fleetGateways = "gateways"
	fleetAgents   = "agents"
)

func newDemoCommand(platform Platform) *cobra.Command {
	var listen, level, fleet string
	command := &cobra.Command{
		Use:   "demo",
		Short: "Serve a small fleet on loopback with everything embedded",
		Example: `  harriernotchd demo --fleet gateways
  harriernotchd demo --fleet agents --listen 127.0.0.1:0`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch fleet {
			case fleetGateways:
				return runGatewayDemo(cmd, listen, level, platform)
			case fleetAgents:
			default:
				return failure.New(failure.InvalidSettings, fmt.Sprintf("--fleet %q is unknown; write %q or %q", fleet, fleetGateways, fleetAgents))
			}
			log, err := telemetry.NewLogger(os.Stderr, level, "text")
			if err != nil {
				return err
			}
			return runDemo(cmd, listen, log)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:18080", "the address for callers; port 0 picks a free port")
	command.Flags().StringVar(&fleet, "fleet", fleetGateways, `"gateways": gateways that read a platform's store; "agents": routers and agents with signed bundles`)
	command.Flags().StringVar(&level, "log-level", "error", "the log level")
	return command
}

func runGatewayDemo(cmd *cobra.Command, listen, level string, platform Platform) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return failure.Wrap(failure.InvalidSettings, err, "--log-level; write error, warning, info or debug")
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	fleet, err := demo.StartGateways(ctx, listen, platform.Adapter, platform.Protocol, parsed, os.Stderr)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	if err := printGatewayDemo(cmd.OutOrStdout(), fleet); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func printGatewayDemo(output io.Writer, fleet *demo.Gateways) error {
	_, err := fmt.Fprintf(output, `Three gateways serve on %[1]s.

A plain request, and a chat as a stream; the same prompt comes back to the same engine, whichever gateway is asked:
%[2]s
%[3]s
%[4]s

What a gateway believes of its back ends: go run ./cmd/harriernotch status --admin %[5]s

Kill any of %[6]s and ask again:
curl -sX POST http://%[7]s/kill/engine-1

Stop with Ctrl-C.
`, strings.Join(fleet.Callers, ", "), fleet.Curl(0, demo.RecordsPrefix+"42"), fleet.Curl(0, demo.ChatPrefix+"new", "prompt-1"),
		fleet.Curl(1, demo.ChatPrefix+"new", "prompt-1"), fleet.Admins[0], strings.Join(fleet.Parts(), ", "), fleet.Control)
	return err
}

func runDemo(cmd *cobra.Command, listen string, log logrus.FieldLogger) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	fleet, err := demo.Start(ctx, listen, log)
	if err != nil {
		return err
	}
	if err := printDemo(cmd, fleet); err != nil {
		return err
	}
	<-ctx.Done()
	fleet.Stop(context.Background())
	return nil
}

func printDemo(cmd *cobra.Command, fleet *demo.Fleet) error {
	_, err := fmt.Fprintf(cmd.OutOrStdout(), `Serving on http://%[1]s with tenant %[2]s, key %[3]s
Status and metrics on http://%[4]s/status and /metrics

A chat:
curl -si http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -d '{"model":"%[5]s","messages":[{"role":"user","content":"Hello there"}]}'

The same as a stream: add "stream":true to the body. For the next turn, send the
answer's Harriernotch-Chat-Token header back; usage.prompt_tokens_details.cached_tokens
tells how much of the context was reused.

A call that must not run twice:
curl -si http://%[1]s%[6]sbadge -H 'Authorization: Bearer %[3]s' -d 'award a badge'

Stop with Ctrl-C.
`, fleet.Address, demo.Tenant, fleet.Key, fleet.AdminAddress, demo.Model, demo.ServicePath)
	return err
}
