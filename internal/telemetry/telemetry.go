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

// NewLogger returns a logger that writes to the output. level and format come from
// validated settings.
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

// Metrics is a root scope of metrics with the HTTP handler that serves them. Close
// stops its reports.
type Metrics struct {
	// Scope creates metrics.
	Scope tally.Scope
	// Handler serves the metrics to a Prometheus scrape.
	Handler http.Handler

	closer io.Closer
}

// reportPeriod is the time between two updates of the scraped values from the scope.
const reportPeriod = time.Second

// NewMetrics returns metrics whose names begin with harriernotch_.
func NewMetrics() *Metrics {
	// Each instance has a registry of its own, so that several nodes can run in one process.
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

// Close stops the periodic reports.
func (m *Metrics) Close() error { return m.closer.Close() }
