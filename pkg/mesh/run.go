package mesh

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// Run runs a daemon with the settings in the file at path until ctx ends, and then drains it. On
// SIGHUP it reloads the settings. connect creates the platform for the settings.
func Run(ctx context.Context, path string, connect func(*Settings) (Platform, error)) error {
	// The handler is installed before the settings are read: a signal during the read may report
	// a change that the read has missed.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	s, err := LoadSettings(path)
	if err != nil {
		return err
	}
	tuneMemory(s.Limits.MemoryMB)
	log, flush, err := NewLogger(os.Stdout, s.LogLevel)
	if err != nil {
		return err
	}
	defer flush()
	platform, err := connect(s)
	if err != nil {
		return err
	}
	d, err := New(s, platform, log)
	if err != nil {
		return err
	}
	d.Start()
	for {
		select {
		case <-ctx.Done():
			d.Drain()
			return nil
		case <-hangup:
			reload(d, path)
		}
	}
}

// reload reloads the settings. Invalid settings are logged and change nothing.
func reload(d *Daemon, path string) {
	s, err := LoadSettings(path)
	if err != nil {
		d.log.Error("settings_rejected", zap.String("file", path), zap.Error(err))
		return
	}
	d.Reload(s)
}
