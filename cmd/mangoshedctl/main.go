// Command mangoshedctl is the operator's program of mangoshed: it checks, compares and
// builds tables, makes keys, asks daemons for their state, plays load patterns and runs the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"mangoshed.example/mangoshed/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := ctl.New().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mangoshedctl:", err)
		stop()
		os.Exit(1)
	}
}
