package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/pkg/mesh"
	"mangoshed.example/mangoshed/pkg/usage"
	"mangoshed.example/mangoshed/platform"
)

// meshSettingsEnv names the settings file that the platform writes.
const meshSettingsEnv = "MANGOSHED_CONFIG"

// meshCommand holds the commands of the daemon on the operators' platform.
func meshCommand() *cli.Command {
	return &cli.Command{
		Name: "mesh", Usage: "run the daemon on a platform that lists instances and publishes routes", Action: usage.Group,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run the daemon until SIGTERM, then drain", Action: runMesh,
				Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Sources: cli.EnvVars(meshSettingsEnv), Required: true}},
			},
			{Name: "check", Usage: "report all faults of a settings file", ArgsUsage: "FILE", Action: checkMesh},
			{Name: "example", Usage: "print complete, commented settings", Action: printMeshExample},
		},
	}
}

func runMesh(ctx context.Context, cmd *cli.Command) error {
	return mesh.Run(ctx, cmd.String("settings"), platform.New)
}

func checkMesh(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &usage.Error{Problem: "mesh check takes one file", Remedy: "use mangoshed mesh check FILE"}
	}
	if _, err := mesh.LoadSettings(cmd.Args().First()); err != nil {
		return err
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, cmd.Args().First()+" is valid")
	return err
}

func printMeshExample(_ context.Context, cmd *cli.Command) error {
	_, err := fmt.Fprint(cmd.Root().Writer, mesh.Example())
	return err
}
