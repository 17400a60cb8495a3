package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/pkg/buildinfo"
	"mangoshed.example/mangoshed/pkg/daemon"
	"mangoshed.example/mangoshed/pkg/settings"
	"mangoshed.example/mangoshed/pkg/usage"
)

// runDaemon runs one daemon until ctx ends and its drain is complete.
var runDaemon = daemon.Run

func newCommand() *cli.Command {
	override := &cli.StringSliceFlag{Name: "set", Usage: "override a key: `KEY=VALUE`, for example upstream.slots=12"}
	return usage.Prepare(&cli.Command{
		Name:    "mangoshed",
		Usage:   "distribute configuration to an upstream's daemon and route its calls",
		Version: buildinfo.Version(),
		Action:  usage.Group,
		Commands: []*cli.Command{
			meshCommand(),
			{
				Name: "run", Usage: "run the daemon until SIGTERM, then drain", Action: run,
				DisableSliceFlagSeparator: true, // a list's value contains commas; subcommands do not inherit this
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Sources: cli.EnvVars(settings.EnvFile)},
					override,
				},
			},
			{
				Name: "settings", Usage: "check settings or print an example", Action: usage.Group,
				Commands: []*cli.Command{
					{
						Name: "check", Usage: "report all faults of a settings file", ArgsUsage: "FILE", Action: check,
						Flags: []cli.Flag{override}, DisableSliceFlagSeparator: true,
					},
					{Name: "example", Usage: "print complete, commented settings", Action: printExample},
				},
			},
		},
	})
}

func run(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 0 {
		return &usage.Error{Problem: "run takes no arguments", Remedy: "name the file with --settings"}
	}
	path := cmd.String("settings")
	s, err := settings.Load(path, os.Environ(), cmd.StringSlice("set")...)
	var faults *settings.Errors
	if path == "" && errors.As(err, &faults) {
		return &usage.Error{
			Problem: fmt.Sprintf("no settings file is named, and the environment and --set leave %d faults, the first being %v", len(faults.List), faults.List[0]),
			Remedy:  "name a file with --settings or " + settings.EnvFile + "; mangoshed settings example prints one",
		}
	}
	if err != nil {
		return err
	}
	return runDaemon(ctx, s)
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &usage.Error{Problem: "settings check takes one file", Remedy: "use mangoshed settings check FILE"}
	}
	if _, err := settings.Load(cmd.Args().First(), os.Environ(), cmd.StringSlice("set")...); err != nil {
		return err
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, cmd.Args().First()+" is valid")
	return err
}

func printExample(_ context.Context, cmd *cli.Command) error {
	_, err := fmt.Fprint(cmd.Root().Writer, settings.Example())
	return err
}
