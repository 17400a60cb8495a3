package ctl

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/core/loadsim"
	"mangoshed.example/mangoshed/pkg/usage"
)

//go:embed load.example.yaml
var examplePattern string

//go:embed load.pace.yaml
var pacePattern string

// loadCommand plays load patterns against the decisions of the daemon.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "play load patterns against the daemon's decisions, in virtual time", Action: usage.Group,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "play patterns one after the other", ArgsUsage: "PATTERN...", Action: runLoad,
				Flags: []cli.Flag{
					formatFlag(),
					&cli.IntFlag{Name: "instances", Usage: "play with `N` instances, and requests in proportion"},
					&cli.Uint64Flag{Name: "seed", Usage: "use `SEED` in place of that of the pattern"},
					&cli.BoolFlag{Name: "seconds", Usage: "show each second beside the bound that no policy can exceed"},
				},
			},
			{Name: "check", Usage: "report the first fault of a pattern", ArgsUsage: "PATTERN", Action: checkLoad, Flags: []cli.Flag{formatFlag()}},
			{
				Name: "example", Usage: "print a complete, commented pattern", Action: printExamplePattern,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "pace", Usage: "print one with uneven speeds and changing paces"}},
			},
		},
	}
}

// readPattern reads and validates a pattern.
func readPattern(path string) (*loadsim.Pattern, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Remedy: "check the path and the permissions", Err: err}
	}
	var p loadsim.Pattern
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&p); err != nil {
		return nil, &FileError{Path: path, Remedy: "correct the line; mangoshedctl load example prints all keys", Err: err}
	}
	if err := p.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &p, nil
}

// loadResult is the JSON form of one play.
type loadResult struct {
	Pattern string          `json:"pattern"`
	Worth   float64         `json:"worth"`
	Result  *loadsim.Result `json:"result"`
}

func runLoad(_ context.Context, cmd *cli.Command) error {
	paths := cmd.Args().Slice()
	if len(paths) == 0 {
		return &usage.Error{Problem: "no pattern is named", Remedy: "use " + cmd.FullName() + " PATTERN..."}
	}
	var results []loadResult
	var lines []string
	for _, path := range paths {
		p, err := readPattern(path)
		if err != nil {
			return err
		}
		if n := cmd.Int("instances"); n != 0 {
			p.Scale(n)
			if err := p.Validate(); err != nil {
				return fmt.Errorf("--instances %d: %w", n, err)
			}
		}
		if cmd.IsSet("seed") {
			p.Seed = cmd.Uint64("seed")
		}
		r := loadsim.Play(p)
		total := r.Total()
		results = append(results, loadResult{Pattern: path, Worth: total.Share(), Result: r})
		lines = append(lines, loadLines(path, r, cmd.Bool("seconds"))...)
	}
	return show(cmd, results, lines)
}

// loadLines is the text form of one play.
func loadLines(path string, r *loadsim.Result, seconds bool) []string {
	total := r.Total()
	rows := [][]string{{"KIND", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "WORTH", "P50", "P99"}}
	row := func(name string, c *loadsim.Counts, more ...string) []string {
		return append([]string{
			name, fmt.Sprint(c.Asked), fmt.Sprint(c.InTime), fmt.Sprint(c.Late), fmt.Sprint(c.Refused), fmt.Sprint(c.Failed), fmt.Sprintf("%.3f", c.Share()),
		}, more...)
	}
	for i := range r.Kinds {
		k := &r.Kinds[i]
		rows = append(rows, row(k.Name, &k.Counts, roundMillis(k.Percentile(0.5)), roundMillis(k.Percentile(0.99))))
	}
	rows = append(rows, row("all", &total))
	lines := append([]string{fmt.Sprintf("%s: worth %.3f, %d repeats", path, total.Share(), r.Repeats)}, columns(rows)...)
	if !seconds {
		return lines
	}
	rows = [][]string{{"SECOND", "ASKED", "IN TIME", "LATE", "REFUSED", "FAILED", "WORTH", "BOUND"}}
	for i := range r.Seconds {
		s := &r.Seconds[i]
		rows = append(rows, row(fmt.Sprint(i), &s.Counts, fmt.Sprintf("%.3f", s.Bound)))
	}
	return append(lines, columns(rows)...)
}

func roundMillis(d time.Duration) string { return d.Round(time.Millisecond).String() }

func checkLoad(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "PATTERN")
	if err != nil {
		return err
	}
	p, err := readPattern(args[0])
	if err != nil {
		return err
	}
	return show(cmd, p, []string{fmt.Sprintf("%s is valid: %d kinds of request, %d troubles", args[0], len(p.Kinds), len(p.Troubles))})
}

func printExamplePattern(_ context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	pattern := examplePattern
	if cmd.Bool("pace") {
		pattern = pacePattern
	}
	_, err := fmt.Fprint(cmd.Root().Writer, pattern)
	return err
}
