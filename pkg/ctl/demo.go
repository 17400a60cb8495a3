package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/pkg/demo"
	"mangoshed.example/mangoshed/pkg/telemetry"
	"mangoshed.example/mangoshed/pkg/usage"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a small deployment on loopback and count what happens", Action: runDemo,
		Description: "Starts a stand-in of the platform, a daemon beside each upstream, and callers; publishes edits of the table.\nExits with an error if an invariant was broken.",
		Flags: []cli.Flag{
			formatFlag(),
			&cli.StringFlag{Name: "deployment", Usage: "`NAME` of the deployment: kopi or haddad", Value: "kopi"},
			&cli.IntFlag{Name: "changes", Usage: "`NUMBER` of edits to publish", Value: 20},
			&cli.DurationFlag{Name: "duration", Usage: "`TIME` over which the edits are spread", Value: 8 * time.Second},
			&cli.IntFlag{Name: "replace", Usage: "`NUMBER` of instances to stop gracefully and start again", Value: 2},
			&cli.BoolFlag{Name: "signed", Usage: "sign every version with an operator's key"},
			&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` that feeds the callers' choices", Value: 1},
			&cli.StringFlag{Name: "log-level", Usage: "write the daemons' events of this `LEVEL` to standard error; none for no log", Value: "none"},
		},
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	options := demo.Options{
		Deployment: cmd.String("deployment"), Changes: cmd.Int("changes"), Duration: cmd.Duration("duration"),
		Replace: cmd.Int("replace"), Signed: cmd.Bool("signed"), Seed: cmd.Uint64("seed"),
	}
	if options.Replace < 0 {
		return &usage.Error{Problem: "--replace must not be negative", Remedy: "for example --replace 2, or 0 for none"}
	}
	if options.Changes < 1 || options.Duration <= 0 {
		return &usage.Error{Problem: "--changes and --duration must be above 0", Remedy: "for example --changes 20 --duration 10s"}
	}
	if level := cmd.String("log-level"); level != "none" {
		logger, err := telemetry.NewLogger(os.Stderr, level)
		if err != nil {
			return err
		}
		options.Log = logger
	}
	out := cmd.Root().Writer
	options.Progress = func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	report, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if cmd.String("format") == formatJSON {
		err = json.NewEncoder(out).Encode(report)
	} else {
		err = report.WriteText(out)
	}
	if err != nil {
		return err
	}
	return report.Err()
}
