package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the state of daemons and the versions in force", Flags: daemonFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			answers, failed := ask(ctx, cmd, func(ctx context.Context, c *operator.Client) (operator.Status, error) { return c.Status(ctx) })
			return showAnswers(cmd, answers, statusLines(answers), failed)
		},
	}
}

// statusLines is the text form: one line for each daemon, then the versions in force.
func statusLines(answers []answer[operator.Status]) []string {
	rows := [][]string{{"INSTANCE", "SERVICE", "PLACE", "STATE", "READY", "VERSION", "DIGEST", "ROLE", "HEARD", "MEMBERS", "LINKS", "LOAD"}}
	for _, a := range answers {
		s := a.Answer
		if s == nil {
			rows = append(rows, []string{a.Address, "-", "-", "no answer"})
			continue
		}
		rows = append(rows, []string{
			string(s.Instance), s.Service, s.Region + "/" + s.DataCentre, s.State, readiness(s), fmt.Sprint(s.Version),
			orDash(s.Digest[:min(len(s.Digest), 16)]), s.Role, fmt.Sprintf("%.1fs ago", s.StalenessSeconds),
			fmt.Sprint(s.Members), fmt.Sprint(s.Links), fmt.Sprintf("%d/%d+%d", s.InFlight, s.Slots, s.Queued),
		})
	}
	return append(columns(rows), versionLines(answers)...)
}

// readiness returns yes, stale or why the daemon is not ready.
func readiness(s *operator.Status) string {
	switch {
	case s.Stale:
		return "stale"
	case s.Ready:
		return "yes"
	case s.NotReady == "":
		return "no"
	}
	return "no: " + s.NotReady
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// inForce is a version and its digest; two digests of one version are a conflict.
type inForce struct {
	version model.Version
	digest  string
}

// versionLines counts the daemons that have each version in force, the newest first.
func versionLines(answers []answer[operator.Status]) []string {
	counts := map[inForce]int{}
	published := map[inForce]time.Time{}
	for _, a := range answers {
		if a.Answer != nil {
			v := inForce{a.Answer.Version, a.Answer.Digest}
			counts[v]++
			published[v] = a.Answer.Published
		}
	}
	versions := make([]inForce, 0, len(counts))
	for v := range counts {
		versions = append(versions, v)
	}
	slices.SortFunc(versions, func(a, b inForce) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.digest, b.digest))
	})
	lines := make([]string, 0, len(versions))
	for _, v := range versions {
		if v.version == 0 {
			lines = append(lines, fmt.Sprintf("no version: %d daemons", counts[v]))
			continue
		}
		lines = append(lines, fmt.Sprintf("version %d published %s: %d daemons", v.version, published[v].UTC().Format(time.RFC3339), counts[v]))
	}
	for i := 1; i < len(versions); i++ {
		if versions[i].version != 0 && versions[i].version == versions[i-1].version {
			lines = append(lines, fmt.Sprintf("version %d is in force with different contents; publish a higher version", versions[i].version))
		}
	}
	return lines
}
