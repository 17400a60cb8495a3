package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/mesh"
	"mangoshed.example/mangoshed/pkg/usage"
)

func routesCommand() *cli.Command {
	return &cli.Command{
		Name:  "routes",
		Usage: "check, compare and explain route tables",
		Commands: []*cli.Command{
			{Name: "check", Usage: "report all faults of a route table", ArgsUsage: "FILE", Action: checkRoutes, Flags: []cli.Flag{
				formatFlag(), &cli.StringFlag{Name: "settings", Usage: "warn of regions that the daemon settings in `FILE` do not name"},
			}},
			{Name: "diff", Usage: "show the routes that differ", ArgsUsage: "OLD NEW", Action: diffRoutes, Flags: []cli.Flag{formatFlag()}},
			{Name: "explain", Usage: "show the route of a request", ArgsUsage: "FILE HOST PATH", Action: explainRoute, Flags: []cli.Flag{formatFlag()}},
		},
		Action: usage.Group,
	}
}

func readRoutes(path string) (*route.Table, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &FileError{Path: path, Remedy: "check the path and the permissions", Err: err}
	}
	defer func() { _ = file.Close() }()
	table, err := route.ParseCSV(file)
	var faults *route.Faults
	if err != nil && !errors.As(err, &faults) {
		return nil, &FileError{Path: path, Remedy: "export the sheet as CSV", Err: err}
	}
	return table, err
}

// routesResult is the JSON form of the outcome of routes check.
type routesResult struct {
	Valid    bool           `json:"valid"`
	Routes   int            `json:"routes"`
	Services int            `json:"services"`
	Errors   []*route.Fault `json:"errors"`
	// Warnings name what is valid in a table but probably a mistake.
	Warnings []string `json:"warnings,omitempty"`
}

func checkRoutes(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	t, err := readRoutes(args[0])
	var faults *route.Faults
	if errors.As(err, &faults) && cmd.String("format") == formatJSON {
		if showErr := show(cmd, routesResult{Errors: faults.List}, nil); showErr != nil {
			return showErr
		}
	}
	if err != nil {
		return err
	}
	result := routesResult{Valid: true, Routes: len(t.Routes), Services: len(t.Services), Errors: []*route.Fault{}}
	if file := cmd.String("settings"); file != "" {
		s, err := mesh.LoadSettings(file)
		if err != nil {
			return err
		}
		result.Warnings = unknownRegions(t, s.DataCentres)
	}
	lines := append([]string{fmt.Sprintf("%s is valid: %d routes to %d services", args[0], result.Routes, result.Services)}, result.Warnings...)
	return show(cmd, result, lines)
}

// unknownRegions returns a warning for each route with a region that has no data centre, given the region
// of each data centre. Such a region may be added to the deployment later, so it is no fault of the table.
func unknownRegions(t *route.Table, dataCentres map[string]string) []string {
	known := make(map[string]bool, len(dataCentres))
	for _, region := range dataCentres {
		known[region] = true
	}
	var warnings []string
	for i := range t.Routes {
		r := &t.Routes[i]
		unknown := slices.DeleteFunc(slices.Clone(r.Regions), func(region string) bool { return known[region] })
		switch {
		case len(unknown) == 0:
		case len(unknown) == len(r.Regions):
			warnings = append(warnings, fmt.Sprintf("warning: route %s: no data centre is in the regions %v, so that every request is refused", r.Name, unknown))
		default:
			warnings = append(warnings, fmt.Sprintf("warning: route %s: no data centre is in the regions %v", r.Name, unknown))
		}
	}
	return warnings
}

func diffRoutes(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "OLD", "NEW")
	if err != nil {
		return err
	}
	from, oldErr := readRoutes(args[0])
	to, newErr := readRoutes(args[1])
	if err := errors.Join(oldErr, newErr); err != nil {
		return err
	}
	lines := route.Changes(from, to)
	return show(cmd, lines, lines)
}

func explainRoute(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FILE", "HOST", "PATH")
	if err != nil {
		return err
	}
	t, err := readRoutes(args[0])
	if err != nil {
		return err
	}
	r := t.Match(args[1], args[2])
	if r == nil {
		return show(cmd, nil, []string{"no route: the request is answered 404"})
	}
	repeat := "may run once only"
	if r.Kind.MayRepeat() {
		repeat = "may be sent again after a failure"
	}
	regions := "all regions"
	if len(r.Regions) > 0 {
		regions = "regions " + strings.Join(r.Regions, ", ") + " only"
	}
	return show(cmd, r, []string{
		fmt.Sprintf("route %s (%s%s): %s, %s", r.Name, r.Host, r.Prefix, r.Kind, repeat),
		fmt.Sprintf("answered within %s, objective %s, priority %d, at most %d upstreams", r.Timeout, r.Goal, r.Priority, r.MaxAttempts),
		fmt.Sprintf("services %v in %s", r.Shares, regions),
	})
}
