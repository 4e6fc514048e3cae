// Package telemetry sets up logs and metrics.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// NewLogger returns a logger. level and format come from checked settings.
func NewLogger(output io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(parsed)
	if format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger, nil
}

// Metrics is a root scope with its scrape handler. Close ends it.
type Metrics struct {
	// Scope is where metrics are made.
	Scope tally.Scope
	// Handler serves the scrape.
	Handler http.Handler

	closer io.Closer
}

// reportPeriod is the time between two reports of the scope to the scrape.
const reportPeriod = time.Second

// NewMetrics returns metrics whose names begin with harriernotch_.
func NewMetrics() *Metrics {
	// A registry of its own lets several nodes live in one process.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "harriernotch",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportPeriod)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close ends the reports.
func (m *Metrics) Close() error { return m.closer.Close() }
