package mesh

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

const (
	// Positions of the figures in the load header of an upstream.
	slotsFigure = 2
	paceFigure  = 3
	// maxPacePercent bounds a pace; a greater one is no figure of an upstream.
	maxPacePercent = 10_000
	// usualPercent is the pace of a host on which work takes as long as usual.
	usualPercent = 100.0
)

// parseLoadHeader parses the load header of an upstream, "running,waiting,slots" or
// "running,waiting,slots,pace" with the pace in percent. A figure that is missing or out of range is 0,
// and the others are used. Further figures are ignored.
func parseLoadHeader(text string) (slots, pace int) {
	figures := strings.Split(text, ",")
	figure := func(i, limit int) int {
		if i >= len(figures) {
			return 0
		}
		n, err := strconv.Atoi(strings.TrimSpace(figures[i]))
		if err != nil || n <= 0 || n > limit {
			return 0
		}
		return n
	}
	return figure(slotsFigure, catalog.MaxSlots), figure(paceFigure, maxPacePercent)
}

// hearLoad applies the load header of a response: the number of slots and the pace of the host. The pace in
// a late response of an instance that has been replaced is not that of the upstream.
func (g *Guard) hearLoad(now time.Time, from model.InstanceID, resp *exchange.Response) {
	slots, pace := parseLoadHeader(resp.Header.Get(g.headers.Load))
	if slots == 0 && pace == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Resize(now, slots)
	if pace > 0 && resp.Status != http.StatusMisdirectedRequest && !g.hasDeparted(now, from) {
		g.queue.SetHostPace(now, float64(pace)/usualPercent)
		g.schedule(now)
	}
}

// Pace returns how long work takes on the upstream's host now, in percent of the usual time.
func (g *Guard) Pace() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(math.Round(g.queue.HostPace().Current(time.Now()) * usualPercent))
}

// headerPace carries, in results, the pace of the upstream's host in percent and its age in milliseconds,
// with a semicolon between them. It is sent only within the lifetime of a pace.
const headerPace = refusal.HeaderPrefix + "Pace"

// encodePace returns the value of headerPace, empty if there is nothing to say.
func encodePace(now time.Time, p intake.HostPace) string {
	age := now.Sub(p.At)
	if p.Factor <= 0 || age >= intake.HostPaceLifetime {
		return ""
	}
	return strconv.FormatInt(int64(math.Round(p.Factor*usualPercent)), 10) + ";" + formatMillis(max(0, age))
}

// decodePace reverses encodePace. A text that it has not written says nothing.
func decodePace(now time.Time, text string) intake.HostPace {
	number, ms, _ := strings.Cut(text, ";")
	percent, err := strconv.Atoi(number)
	age, ageErr := strconv.ParseInt(ms, 10, 32)
	if err != nil || ageErr != nil || percent <= 0 || percent > maxPacePercent || age < 0 {
		return intake.HostPace{}
	}
	return intake.HostPace{Factor: float64(percent) / usualPercent, At: now.Add(-time.Duration(age) * time.Millisecond)}
}
