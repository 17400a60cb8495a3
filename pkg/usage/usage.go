// Package usage reports invalid command lines in the same form for mangoshed and mangoshedctl.
package usage

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// Error reports an invalid command line and how to correct it.
type Error struct {
	Problem string
	Remedy  string
}

// Error returns the problem and the remedy.
func (e *Error) Error() string { return e.Problem + "; " + e.Remedy }

// Group is the action of a command that only has subcommands: it shows the help, or returns
// an *Error for an unknown subcommand.
func Group(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return cli.ShowSubcommandHelp(cmd)
	}
	return &Error{
		Problem: fmt.Sprintf("%s has no command %q", cmd.FullName(), cmd.Args().First()),
		Remedy:  "see " + cmd.FullName() + " --help",
	}
}

// Prepare makes a command and its subcommands return an *Error for invalid flags, instead
// of printing the library's help text. It returns cmd.
func Prepare(cmd *cli.Command) *cli.Command {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		problem := strings.TrimSpace(err.Error())
		return &Error{Problem: strings.ToLower(problem[:1]) + problem[1:], Remedy: "see " + cmd.FullName() + " --help"}
	}
	for _, sub := range cmd.Commands {
		Prepare(sub)
	}
	return cmd
}
