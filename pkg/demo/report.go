package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report is what a run counted. Bytes are on the wire: UDP payloads with IP and UDP
// headers, each datagram once.
type Report struct {
	Deployment string `json:"deployment"`
	Daemons    int    `json:"daemons"`
	Signed     bool   `json:"signed"`
	Version    uint64 `json:"version"`
	Changes    int    `json:"changes"`
	// Converged says that every change came into effect on every daemon.
	Converged            bool    `json:"converged"`
	ReadyMillis          float64 `json:"ready_ms"`
	ConvergenceMillisP50 float64 `json:"convergence_ms_p50"`
	ConvergenceMillisMax float64 `json:"convergence_ms_max"`

	// ControlBytesPerChange counts all links, beacons and keep-alives included.
	ControlBytesPerChange     float64 `json:"control_bytes_per_change"`
	CrossRegionBytesPerChange float64 `json:"cross_region_bytes_per_change"`
	// DeltaBytesPerChange is the compressed row delta alone, with its signature if signed.
	DeltaBytesPerChange           float64 `json:"delta_bytes_per_change"`
	IdleBytesPerSecond            float64 `json:"idle_bytes_per_second_per_daemon"`
	IdleCrossRegionBytesPerSecond float64 `json:"idle_cross_region_bytes_per_second"`

	// Replaced counts instances that were stopped gracefully and started again.
	Replaced    int            `json:"replaced_instances"`
	Calls       int            `json:"calls"`
	Refused     int            `json:"refused_calls"`
	Refusals    map[string]int `json:"refusals"`
	FailedCalls int            `json:"failed_calls"`
	// DoubledCalls counts keyed requests that ran more than once.
	DoubledCalls int `json:"doubled_calls"`
	// CutCalls counts answers of which only a part arrived.
	CutCalls int `json:"cut_calls"`
	// FalseNotRun counts requests that ran although they were refused as not run.
	FalseNotRun      int     `json:"false_not_run"`
	LatencyMillisP50 float64 `json:"latency_ms_p50"`
	LatencyMillisP99 float64 `json:"latency_ms_p99"`

	VersionRegressions int `json:"version_regressions"`
	// IncompleteDrains counts daemons that cut calls when they were stopped.
	IncompleteDrains int `json:"incomplete_drains"`
	// Broken lists the invariants that did not hold.
	Broken []string `json:"broken"`
}

func (r *Report) addCalls(c *callers) {
	totals := c.result()
	r.Calls, r.FailedCalls, r.Refused, r.CutCalls = totals.Calls, totals.Failed, totals.Refused, totals.Cut
	r.Refusals = totals.Refusals
	r.LatencyMillisP50, r.LatencyMillisP99 = millis(totals.LatencyP50), millis(totals.LatencyP99)
}

func (r *Report) addChanges(changes int, convergence []time.Duration, deltaBytes int, spent traffic) {
	r.Changes = changes
	r.Converged = len(convergence) == changes
	r.ConvergenceMillisP50 = millis(percentile(convergence, 0.5))
	r.ConvergenceMillisMax = millis(percentile(convergence, 1))
	if changes == 0 {
		return
	}
	r.ControlBytesPerChange = float64(spent.total()) / float64(changes)
	r.CrossRegionBytesPerChange = float64(spent.crossRegion) / float64(changes)
	r.DeltaBytesPerChange = float64(deltaBytes) / float64(changes)
}

// check lists the invariants that did not hold.
func (r *Report) check() {
	r.Broken = []string{}
	if !r.Converged {
		r.Broken = append(r.Broken, "a change did not come into effect on every daemon")
	}
	for _, c := range []struct {
		count int
		text  string
	}{
		{r.DoubledCalls, "requests that ran more than once"},
		{r.CutCalls, "answers of which only a part arrived"},
		{r.FalseNotRun, "requests that ran although they were refused as not run"},
		{r.VersionRegressions, "moves to a version that is not higher"},
		{r.IncompleteDrains, "planned stops that cut calls"},
	} {
		if c.count > 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("%d %s", c.count, c.text))
		}
	}
}

// BrokenError reports invariants that did not hold.
type BrokenError struct {
	Broken []string
}

// Error lists them.
func (e *BrokenError) Error() string {
	return "invariants were broken: " + strings.Join(e.Broken, "; ") + "; run with --log-level info and report the log"
}

// Err returns a *BrokenError when an invariant did not hold.
func (r *Report) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return &BrokenError{Broken: r.Broken}
}

// WriteText writes the report for a person.
func (r *Report) WriteText(w io.Writer) error {
	refusals := make([]string, 0, len(r.Refusals))
	for _, kind := range slices.Sorted(maps.Keys(r.Refusals)) {
		refusals = append(refusals, fmt.Sprintf("%s %d", kind, r.Refusals[kind]))
	}
	_, err := fmt.Fprintf(w, `
deployment          %s: %s, ready after %.0f ms
version             %d on all daemons: %t
convergence         p50 %.1f ms, max %.1f ms over %s
bytes per change    %.0f in all, %.0f across regions, row delta %.0f
idle                %.0f bytes/s per daemon, %.1f bytes/s across regions
replaced            %s stopped and started again while callers called
calls               %d, refused %d (%s), failed %d
latency             p50 %.2f ms, p99 %.2f ms
doubled calls       %d
cut calls           %d
false "not run"     %d
version regressions %d
`,
		r.Deployment, plural(r.Daemons, "daemon"), r.ReadyMillis, r.Version, r.Converged,
		r.ConvergenceMillisP50, r.ConvergenceMillisMax, plural(r.Changes, "change"),
		r.ControlBytesPerChange, r.CrossRegionBytesPerChange, r.DeltaBytesPerChange,
		r.IdleBytesPerSecond, r.IdleCrossRegionBytesPerSecond,
		plural(r.Replaced, "instance"), r.Calls, r.Refused, strings.Join(refusals, ", "), r.FailedCalls, r.LatencyMillisP50, r.LatencyMillisP99,
		r.DoubledCalls, r.CutCalls, r.FalseNotRun, r.VersionRegressions)
	return err
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
