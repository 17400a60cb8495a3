// Package telemetry builds the logger and the metrics registry of a process.
package telemetry

import (
	"fmt"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Namespace is the prefix of every metric name.
const Namespace = "mangoshed"

// LevelError reports a log level that zap does not know.
type LevelError struct {
	Level string
}

// Error returns a message with the unknown level and the accepted levels.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q is unknown; use debug, info, warn or error", e.Level)
}

// NewLogger returns a logger that writes one line of key=value pairs per event to out.
// It returns a *LevelError for an unknown level.
func NewLogger(out io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, &LevelError{Level: level}
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = func(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
		enc.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	sink := zapcore.Lock(zapcore.AddSync(out))
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(config), sink, parsed)), nil
}

// NewRegistry returns a metrics registry with the Go runtime and process collectors.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}
