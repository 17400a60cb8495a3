package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/pkg/mesh"
	"mangoshed.example/mangoshed/pkg/operator"
	"mangoshed.example/mangoshed/pkg/usage"
)

// meshCommand asks daemons that run as "mangoshed mesh run".
func meshCommand() *cli.Command {
	return &cli.Command{
		Name: "mesh", Usage: "ask daemons of a platform with its own store", Action: usage.Group,
		Commands: []*cli.Command{{
			Name: "status", Usage: "show versions, revisions and load", Flags: daemonFlags(),
			Action: func(ctx context.Context, cmd *cli.Command) error {
				if _, err := arguments(cmd); err != nil {
					return err
				}
				answers, failed := ask(ctx, cmd, func(ctx context.Context, c *operator.Client) (mesh.Status, error) {
					var s mesh.Status
					err := c.Get(ctx, "/v1/status", &s)
					return s, err
				})
				return showAnswers(cmd, answers, meshLines(answers), failed)
			},
		}},
	}
}

// meshLines is the text form: one line for each daemon. The column of the evacuated data centres is left
// out if no daemon knows of any, and that of the store's era if the store was never restored from a copy.
func meshLines(answers []answer[mesh.Status]) []string {
	rows := [][]string{{"ADDRESS", "READY", "VERSION", "REVISION", "ROUTES", "INSTANCES", "LOAD", "SUSPECTS"}}
	evacuating := slices.ContainsFunc(answers, func(a answer[mesh.Status]) bool { return a.Answer != nil && len(a.Answer.Evacuated) > 0 })
	if evacuating {
		rows[0] = append(rows[0], "EVACUATED")
	}
	restored := slices.ContainsFunc(answers, func(a answer[mesh.Status]) bool { return a.Answer != nil && a.Answer.Era > 0 })
	if restored {
		rows[0] = append(rows[0], "ERA")
	}
	for _, a := range answers {
		s := a.Answer
		if s == nil {
			rows = append(rows, []string{a.Address, "no answer"})
			continue
		}
		ready := "no"
		if s.Ready {
			ready = "yes"
		}
		row := []string{
			a.Address, ready, fmt.Sprint(s.Version), fmt.Sprint(s.Revision), fmt.Sprint(s.Routes), fmt.Sprint(s.Instances),
			fmt.Sprintf("%d/%d+%d", s.Running, s.Slots, s.Queued), fmt.Sprint(s.Suspects),
		}
		if evacuating {
			row = append(row, evacuatedText(s.Evacuated))
		}
		if restored {
			row = append(row, fmt.Sprint(s.Era))
		}
		rows = append(rows, row)
	}
	return columns(rows)
}

// evacuatedText lists data centres with the revisions of their evacuations, such as "a1@412".
func evacuatedText(list []mesh.EvacuatedDataCentre) string {
	if len(list) == 0 {
		return "-"
	}
	texts := make([]string, len(list))
	for i, e := range list {
		texts[i] = fmt.Sprintf("%s@%d", e.Name, e.Revision)
		if e.Unknown {
			texts[i] += " (unknown)"
		}
	}
	return strings.Join(texts, ", ")
}
