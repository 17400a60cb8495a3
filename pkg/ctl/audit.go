package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/audit"
	"mangoshed.example/mangoshed/pkg/operator"
	"mangoshed.example/mangoshed/pkg/usage"
)

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "show what became of the versions that daemons saw, the newest last",
		Flags: daemonFlags(&cli.IntFlag{Name: "max", Value: 20, Usage: "`NUMBER` of entries for each daemon; 0 shows all"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			max := cmd.Int("max")
			if max < 0 {
				return &usage.Error{Problem: fmt.Sprintf("--max %d is negative", max), Remedy: "use 0 to show all entries"}
			}
			answers, failed := ask(ctx, cmd, func(ctx context.Context, c *operator.Client) ([]audit.Entry, error) { return c.Audit(ctx, max) })
			return showAnswers(cmd, answers, auditLines(answers), failed)
		},
	}
}

// located is an entry with the daemon that has it.
type located struct {
	address string
	audit.Entry
}

// auditLines is the text form: the entries of all daemons in the order of time.
func auditLines(answers []answer[[]audit.Entry]) []string {
	var entries []located
	for _, a := range answers {
		if a.Answer == nil {
			continue
		}
		for _, e := range slices.Backward(*a.Answer) {
			entries = append(entries, located{a.Address, e})
		}
	}
	slices.SortStableFunc(entries, func(a, b located) int { return a.Time.Compare(b.Time) })
	rows := [][]string{{"TIME", "DAEMON", "EVENT", "VERSION", "DIGEST", "SOURCE", "AGE", "DETAILS"}}
	for _, e := range entries {
		digest, old := "", "-"
		if e.Digest != (model.Digest{}) {
			digest = e.Digest.Prefix().String()
		}
		if e.Age != 0 {
			old = e.Age.Round(time.Millisecond).String()
		}
		details := e.Reason
		if len(e.Rows) > 0 {
			details = strings.Join(e.Rows, "; ")
		}
		rows = append(rows, []string{
			e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), e.address, string(e.Kind), fmt.Sprint(e.Version), orDash(digest),
			orDash(e.Source), old, orDash(details),
		})
	}
	return columns(rows)
}
