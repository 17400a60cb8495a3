package ctl

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/pkg/operator"
)

// maxParallel bounds the daemons that are asked at once.
const maxParallel = 32

// daemonFlags are the flags of commands that ask daemons.
func daemonFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "address", Aliases: []string{"a"}, Required: true,
			Usage: "admin `ADDRESS` of a daemon as HOST:PORT; repeat it to ask several",
		},
		formatFlag(),
	}, more...)
}

// answer is what one daemon answered.
type answer[T any] struct {
	Address string `json:"address"`
	Answer  *T     `json:"answer,omitempty"`
	Error   string `json:"error,omitempty"`

	err error
}

// DaemonsError reports daemons that did not answer; the answers of the others are shown.
type DaemonsError struct {
	Failed, Asked int
	// Err is the error of the first one that failed.
	Err error
}

// Error returns the number of failed daemons and the first error.
func (e *DaemonsError) Error() string {
	return fmt.Sprintf("%d of %d daemons did not answer: %v", e.Failed, e.Asked, e.Err)
}

// Unwrap returns the error of the first daemon that failed.
func (e *DaemonsError) Unwrap() error { return e.Err }

// ask asks all daemons of the command line at the same time. The answers are in the
// order of the addresses.
func ask[T any](ctx context.Context, cmd *cli.Command, one func(context.Context, *operator.Client) (T, error)) ([]answer[T], error) {
	addresses := cmd.StringSlice("address")
	answers := make([]answer[T], len(addresses))
	var group sync.WaitGroup
	free := make(chan struct{}, maxParallel)
	for i, address := range addresses {
		group.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			got, err := one(ctx, operator.NewClient(address))
			answers[i] = answer[T]{Address: address, Answer: &got}
			if err != nil {
				answers[i] = answer[T]{Address: address, Error: err.Error(), err: err}
			}
		})
	}
	group.Wait()
	var failed DaemonsError
	for _, a := range answers {
		if a.err == nil {
			continue
		}
		if failed.Failed == 0 {
			failed.Err = a.err
		}
		failed.Failed++
	}
	if failed.Failed == 0 {
		return answers, nil
	}
	failed.Asked = len(answers)
	return answers, &failed
}

// showAnswers prints the answers, then returns the error of those that failed.
func showAnswers[T any](cmd *cli.Command, answers []answer[T], lines []string, failed error) error {
	if err := show(cmd, answers, lines); err != nil {
		return err
	}
	return failed
}

// columns aligns rows of cells.
func columns(rows [][]string) []string {
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush() // writes to memory
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	for i, line := range lines {
		lines[i] = strings.TrimRight(line, " ")
	}
	return lines
}
