package ctl

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/pkg/operator"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show how daemons route calls to a service", ArgsUsage: "SERVICE", Flags: daemonFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "SERVICE")
			if err != nil {
				return err
			}
			answers, failed := ask(ctx, cmd, func(ctx context.Context, c *operator.Client) (routing.Explanation, error) {
				return c.Explain(ctx, args[0])
			})
			return showAnswers(cmd, answers, explainLines(answers), failed)
		},
	}
}

// explainLines is the text form: one block for each daemon.
func explainLines(answers []answer[routing.Explanation]) []string {
	var lines []string
	for _, a := range answers {
		e := a.Answer
		if e == nil {
			lines = append(lines, a.Address+": no answer")
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %s by version %d", a.Address, e.Service, e.Version))
		if e.Refusal != "" {
			lines = append(lines, fmt.Sprintf("calls are refused: %s; %s", e.Refusal, e.Remedy))
		}
		if len(e.Instances) == 0 {
			continue
		}
		rows := [][]string{{"INSTANCE", "PLACE", "STEP", "WEIGHT", "REGION WEIGHT", "STATE", "LOAD", "RAMP"}}
		for _, c := range e.Instances {
			rows = append(rows, []string{
				string(c.ID), c.Place, orDash(string(c.Step)), fmt.Sprint(c.Weight), fmt.Sprint(c.RegionWeight),
				candidateState(c), candidateLoad(c), fmt.Sprintf("%.0f%%", 100*c.Ramp),
			})
		}
		lines = append(lines, columns(rows)...)
	}
	return lines
}

// candidateState names what keeps calls from an instance, or its state.
func candidateState(c routing.Candidate) string {
	switch {
	case c.SuspectSeconds > 0:
		return fmt.Sprintf("%s, suspect for %.1fs", c.State, c.SuspectSeconds)
	case c.Full:
		return c.State + ", full"
	}
	return c.State
}

// candidateLoad shows the load, marked as an estimate when no recent report supports it.
func candidateLoad(c routing.Candidate) string {
	load := fmt.Sprintf("%.1f", c.Load)
	if c.Slots > 0 {
		load += fmt.Sprintf("/%d", c.Slots)
	}
	if !c.Fresh {
		load += " (estimate)"
	}
	return load
}
