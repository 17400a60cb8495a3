package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against log events that span several lines or lack their keys.
func TestLoggerWritesOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(&out, "info")
	require.NoError(t, err)
	logger.Info("version_applied", zap.Uint64("version", 7), zap.String("reason", "two\nlines"))
	logger.Debug("hidden")
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "event=version_applied")
	require.Contains(t, out.String(), "version=7")
}

// Guards against an unknown log level that is silently replaced by the default.
func TestUnknownLevelNamesTheRemedy(t *testing.T) {
	_, err := NewLogger(&bytes.Buffer{}, "loud")
	var levelErr *LevelError
	require.ErrorAs(t, err, &levelErr)
	require.Contains(t, err.Error(), "use debug, info, warn or error")
}
