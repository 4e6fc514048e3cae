package cli

import (
	"context"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/settings"
)

// runGateway runs a gateway until SIGTERM, an interrupt or the end of ctx. SIGHUP reloads the
// settings.
func runGateway(ctx context.Context, path string, s *settings.Settings, adapter daemon.Adapter) error {
	// The signals are caught before the gateway starts: a SIGHUP that arrives while it
	// starts must not terminate the process.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	defer signal.Stop(signals)
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return failure.Wrap(failure.InvalidSettings, err, "log.level")
	}
	log := eventlog.New(os.Stdout, level, logrus.Fields{"node": s.ID, "role": s.Role})
	defer log.Close()
	// Libraries report errors as plain text through the standard logger. It is redirected
	// to the event log, because the gateway's log must contain only JSON.
	stdlog.SetOutput(log.Entry().WriterLevel(logrus.DebugLevel))
	daemon.SetMemoryLimit(s.Gateway.MemoryMegabytes)
	node, err := daemon.StartGateway(s, daemon.GatewayEnvironment{Adapter: adapter, Clock: clock.New(), Log: log})
	if err != nil {
		log.Warn(eventlog.Failed, logrus.Fields{"cause": err.Error()})
		return err
	}
	waitForStop(ctx, path, node, signals, log)
	drain, cancel := context.WithTimeout(context.Background(), node.DrainTimeout())
	defer cancel()
	node.Stop(drain)
	return nil
}

// waitForStop returns when the gateway must stop. Until then it reloads the settings on each
// SIGHUP.
func waitForStop(ctx context.Context, path string, node *daemon.Gateway, signals <-chan os.Signal, log *eventlog.Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
			reload(path, node, log)
		}
	}
}

// reload reloads the settings. If they are invalid, the previous ones stay in force.
func reload(path string, node *daemon.Gateway, log *eventlog.Log) {
	s, err := settings.Load(path)
	if err != nil {
		log.Warn(eventlog.ReloadFailed, logrus.Fields{"cause": err.Error()})
		return
	}
	node.Reload(s)
}
