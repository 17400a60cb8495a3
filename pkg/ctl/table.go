package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/table"
	"mangoshed.example/mangoshed/pkg/settings"
	"mangoshed.example/mangoshed/pkg/usage"
)

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "check, compare and build tables",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "report all faults of a table", ArgsUsage: "FILE", Action: checkTable,
				Flags: []cli.Flag{
					formatFlag(),
					&cli.StringFlag{Name: "settings", Usage: "also check that the table fits the daemon with the settings `FILE`"},
				},
			},
			{Name: "diff", Usage: "show the rows that differ", ArgsUsage: "OLD NEW", Action: diffTables, Flags: []cli.Flag{formatFlag()}},
			buildCommand(),
		},
		Action: usage.Group,
	}
}

func readTable(path string) (*table.Table, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &FileError{Path: path, Remedy: "check the path and the permissions", Err: err}
	}
	defer func() { _ = file.Close() }()
	return table.ParseCSV(path, file)
}

// checkResult is the JSON form of the outcome of table check.
type checkResult struct {
	Valid       bool           `json:"valid"`
	Services    int            `json:"services"`
	DataCentres int            `json:"data_centres"`
	Regions     int            `json:"regions"`
	Errors      []*table.Error `json:"errors"`
}

func checkTable(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	t, err := readTable(args[0])
	if err == nil && cmd.String("settings") != "" {
		err = fits(t, args[0], cmd.String("settings"))
	}
	var faults *table.Errors
	if err != nil {
		// The faults are data; the other format prints them as the error's message.
		if errors.As(err, &faults) && cmd.String("format") == formatJSON {
			if showErr := show(cmd, checkResult{Errors: faults.List}, nil); showErr != nil {
				return showErr
			}
		}
		return err
	}
	result := checkResult{
		Valid: true, Services: len(t.Rows), DataCentres: len(t.Layout.DataCentres), Regions: len(t.Layout.Regions), Errors: []*table.Error{},
	}
	return show(cmd, result, []string{fmt.Sprintf("%s is valid: %d services, %d data centres, %d regions",
		args[0], result.Services, result.DataCentres, result.Regions)})
}

// fits reports a table that lacks the service or the place of a daemon.
func fits(t *table.Table, file, settingsFile string) error {
	s, err := settings.Load(settingsFile, os.Environ())
	if err != nil {
		return err
	}
	var faults table.Errors
	fault := func(column, value, problem, remedy string) {
		faults.List = append(faults.List, &table.Error{File: file, Column: column, Value: value, Problem: problem, Remedy: remedy})
	}
	place := s.Self().Place
	row, ok := t.Row(s.Instance.Service)
	if !ok {
		fault("service", s.Instance.Service, "the table has no row for the service of "+settingsFile, "add a row, or correct instance.service")
	}
	index := placeIndex(t.Layout, place)
	switch {
	case index < 0:
		fault("weight:"+place.String(), "", "the data centre of "+settingsFile+" is not declared", "add its columns, or correct instance.region and instance.data_centre")
	case ok && row.DataCentres[index].Weight == 0:
		fault("weight:"+place.String(), "0", "the service gets no calls in the data centre of "+settingsFile, "give it a weight above 0")
	}
	if len(faults.List) > 0 {
		return &faults
	}
	return nil
}

func placeIndex(l table.Layout, place model.Place) int {
	for i, dc := range l.DataCentres {
		if dc == place {
			return i
		}
	}
	return -1
}

func diffTables(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "OLD", "NEW")
	if err != nil {
		return err
	}
	from, oldErr := readTable(args[0])
	to, newErr := readTable(args[1])
	if err := errors.Join(oldErr, newErr); err != nil {
		return err
	}
	changes := table.Diff(from, to)
	if changes == nil {
		changes = []table.RowChange{}
	}
	lines := make([]string, len(changes))
	for i, change := range changes {
		lines[i] = change.String()
	}
	return show(cmd, changes, lines)
}
