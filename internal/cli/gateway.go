package cli

import (
	"context"
	stdlog "log"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/settings"
)

// runGateway runs a gateway until it is told to stop. SIGHUP reloads the settings.
func runGateway(signals daemonSignals, path string, s *settings.Settings, adapter daemon.Adapter) error {
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
	node, err := daemon.StartGateway(s, daemon.GatewayEnvironment{Adapter: adapter, Clock: clock.New(), Log: log, Starting: signals.stopping})
	if signals.stopping.Err() != nil && err != nil {
		return nil // told to stop before it had started
	}
	if err != nil {
		log.Warn(eventlog.Failed, logrus.Fields{"cause": err.Error()})
		return err
	}
	go reloadOnSignal(signals, path, node, log)
	<-signals.stopping.Done()
	drain, cancel := context.WithTimeout(context.Background(), node.DrainTimeout())
	defer cancel()
	node.Stop(drain)
	return nil
}

// reloadOnSignal reloads the settings on each signal until the gateway stops.
func reloadOnSignal(signals daemonSignals, path string, node *daemon.Gateway, log *eventlog.Log) {
	for {
		select {
		case <-signals.stopping.Done():
			return
		case <-signals.reload:
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
