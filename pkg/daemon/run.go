package daemon

import (
	"context"
	"os"
	"time"

	"mangoshed.example/mangoshed/pkg/identity"
	"mangoshed.example/mangoshed/pkg/platform"
	"mangoshed.example/mangoshed/pkg/settings"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

// Run runs one daemon by its settings until ctx ends or an operator asks for a drain,
// and then drains it within the settings' drain timeout. It returns nil when nothing was
// cut.
func Run(ctx context.Context, s *settings.Settings) error {
	logger, err := telemetry.NewLogger(os.Stdout, s.LogLevel)
	if err != nil {
		return err
	}
	source, err := identity.Load(s.Files())
	if err != nil {
		return err
	}
	client, err := platform.NewHTTP(platform.HTTPConfig{
		BaseURL:  "http://" + s.Platform.Address,
		HoldTime: time.Duration(s.Platform.HoldSeconds) * time.Second,
	})
	if err != nil {
		return err
	}
	defer client.Close()
	d, err := New(Config{Settings: s, Identity: source, Platform: client, Log: logger})
	if err != nil {
		return err
	}
	if err := d.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-d.DrainRequested():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), s.DrainTimeout())
	defer cancel()
	return d.Drain(drainCtx)
}
