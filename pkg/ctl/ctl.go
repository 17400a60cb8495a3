// Package ctl holds the commands of mangoshedctl, one file for each.
package ctl

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/pkg/buildinfo"
	"mangoshed.example/mangoshed/pkg/usage"
)

// New returns the root command of mangoshedctl.
func New() *cli.Command {
	return usage.Prepare(&cli.Command{
		Name:    "mangoshedctl",
		Usage:   "operate mangoshed: tables, keys and daemons",
		Version: buildinfo.Version(),
		Commands: []*cli.Command{
			tableCommand(),
			routesCommand(),
			meshCommand(),
			keysCommand(),
			demoCommand(),
			statusCommand(),
			auditCommand(),
			explainCommand(),
			loadCommand(),
		},
		Action: usage.Group,
	})
}

// FileError reports a file that cannot be read or written.
type FileError struct {
	Path   string
	Remedy string
	Err    error
}

// Error names the file, the cause and the remedy.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v; %s", e.Path, e.Err, e.Remedy) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// arguments returns the positional arguments, which the names describe.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	if cmd.Args().Len() != len(names) {
		return nil, &usage.Error{
			Problem: fmt.Sprintf("%s has %d arguments in place of %d", cmd.FullName(), cmd.Args().Len(), len(names)),
			Remedy:  strings.TrimSpace("use " + cmd.FullName() + " " + strings.Join(names, " ")),
		}
	}
	return cmd.Args().Slice(), nil
}

// Output formats of commands that print data.
const (
	formatText = "text"
	formatJSON = "json"
)

// formatFlag selects the output format.
func formatFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "format", Value: formatText, Usage: "output `FORMAT`: text or json",
		Validator: func(format string) error {
			if format != formatText && format != formatJSON {
				return &usage.Error{Problem: fmt.Sprintf("format %q is unknown", format), Remedy: "use text or json"}
			}
			return nil
		},
	}
}

// show prints v as JSON if --format says so, otherwise the lines.
func show(cmd *cli.Command, v any, lines []string) error {
	out := cmd.Root().Writer
	if cmd.String("format") == formatJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

// File modes of what the commands write.
const (
	modePublic  = 0o644
	modePrivate = 0o600
)

// writeFile writes a file as a whole: a reader never sees a part of it.
func writeFile(path string, data []byte, mode os.FileMode) error {
	remedy := "check the directory and its permissions"
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return &FileError{Path: path, Remedy: remedy, Err: err}
	}
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return &FileError{Path: temporary, Remedy: remedy, Err: err}
	}
	if err := os.Rename(temporary, path); err != nil {
		return &FileError{Path: path, Remedy: remedy, Err: err}
	}
	return nil
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Remedy: "check the path and the permissions", Err: err}
	}
	return data, nil
}
