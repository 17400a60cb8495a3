package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/pkg/buildinfo"
	"mangoshed.example/mangoshed/pkg/daemon"
	"mangoshed.example/mangoshed/pkg/settings"
)

// runDaemon runs one daemon until ctx ends and its drain is complete.
var runDaemon = daemon.Run

// usageError reports a command line that cannot be run.
type usageError struct {
	problem string
	remedy  string
}

func (e *usageError) Error() string { return e.problem + "; " + e.remedy }

func newCommand() *cli.Command {
	override := &cli.StringSliceFlag{Name: "set", Usage: "override a key: `KEY=VALUE`, for example upstream.slots=12"}
	return &cli.Command{
		Name:    "mangoshed",
		Usage:   "distribute configuration to an upstream's daemon and route its calls",
		Version: buildinfo.Version(),
		Action:  group,
		// Values such as lists of addresses contain commas.
		DisableSliceFlagSeparator: true,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run the daemon until SIGTERM, then drain", Action: run,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Sources: cli.EnvVars(settings.EnvFile)},
					override,
				},
			},
			{
				Name: "settings", Usage: "check settings or print an example", Action: group,
				Commands: []*cli.Command{
					{Name: "check", Usage: "report all faults of a settings file", ArgsUsage: "FILE", Action: check, Flags: []cli.Flag{override}},
					{Name: "example", Usage: "print complete, commented settings", Action: printExample},
				},
			},
		},
	}
}

// group is the action of a command that only has subcommands.
func group(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return cli.ShowSubcommandHelp(cmd)
	}
	return &usageError{problem: fmt.Sprintf("%s has no command %q", cmd.FullName(), cmd.Args().First()), remedy: "see " + cmd.FullName() + " --help"}
}

func run(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 0 {
		return &usageError{problem: "run takes no arguments", remedy: "name the file with --settings"}
	}
	s, err := settings.Load(cmd.String("settings"), os.Environ(), cmd.StringSlice("set")...)
	if err != nil {
		return err
	}
	return runDaemon(ctx, s)
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &usageError{problem: "settings check takes one file", remedy: "use mangoshed settings check FILE"}
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
