package route

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"

	"mangoshed.example/mangoshed/core/faultlist"
)

// Limits of a table. They bound the memory that an untrusted table can use.
const (
	MaxRoutes = 100_000
	MaxShares = 64
	// MaxRegions bounds the list of a route, which every choice of an instance goes through.
	MaxRegions = 64
	// MaxWeight keeps the sum of a route's weights far below an integer overflow.
	MaxWeight = 1_000_000
	// MaxTimeout is the longest timeout that a route may have.
	MaxTimeout = 10 * time.Minute
	// MaxColdStart bounds the time for which an upstream is cold after its start, and MaxColdPerSecond the
	// requests per second that it takes meanwhile.
	MaxColdStart     = time.Hour
	MaxColdPerSecond = 1e6
)

// Fault is one validation error of a table.
type Fault struct {
	// Route is the name of the route or the line of a file; empty if the fault concerns the
	// whole table.
	Route string `json:"route,omitempty"`
	// Column is the CSV column of the invalid value.
	Column  string `json:"column,omitempty"`
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// Error returns the location, the value, the problem and the remedy on one line.
func (f *Fault) Error() string {
	var b strings.Builder
	if f.Route != "" {
		fmt.Fprintf(&b, "route %s: ", f.Route)
	}
	if f.Column != "" {
		fmt.Fprintf(&b, "column %s: ", f.Column)
	}
	if f.Value != "" {
		fmt.Fprintf(&b, "value %q: ", f.Value)
	}
	return b.String() + f.Problem + "; " + f.Remedy
}

// Faults holds all faults of a table.
type Faults = faultlist.List[*Fault]

// checker collects the faults of one table.
type checker struct{ faults []*Fault }

func (c *checker) add(route, column, value, problem, remedy string) {
	c.faults = append(c.faults, &Fault{Route: route, Column: column, Value: value, Problem: problem, Remedy: remedy})
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return &Faults{List: c.faults}
}

// validate checks the table and returns a *Faults with all faults. The routes must be sorted.
func (t *Table) validate() error {
	c := &checker{}
	if len(t.Routes) > MaxRoutes {
		c.add("", "", fmt.Sprint(len(t.Routes)), "too many routes", fmt.Sprintf("use at most %d", MaxRoutes))
		return c.err()
	}
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		if s.Name == "" || services[s.Name] {
			c.add("", "service", s.Name, "service has no name or is listed twice", "list each service once, with its name")
		}
		services[s.Name] = true
		c.checkCold(&s)
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if i > 0 && t.Routes[i-1].Host == r.Host && t.Routes[i-1].Prefix == r.Prefix {
			c.add(r.Name, "prefix", r.Prefix, "route "+t.Routes[i-1].Name+" has the same host and prefix", "remove one of them")
		}
		c.checkRoute(r, services)
	}
	return c.err()
}

// checkCold checks what a service says about its cold upstreams.
func (c *checker) checkCold(s *Service) {
	if rate := s.ColdPerSecond; math.IsNaN(rate) || rate < 0 || rate > MaxColdPerSecond {
		c.add("", "service", s.Name, fmt.Sprintf("rate of cold upstreams %g is out of range", rate), fmt.Sprintf("use 0 to %g requests per second", MaxColdPerSecond))
	}
	if s.ColdStart < 0 || s.ColdStart > MaxColdStart {
		c.add("", "service", s.Name, "cold start "+s.ColdStart.String()+" is out of range", "use 0s to "+MaxColdStart.String())
	}
}

func (c *checker) checkRoute(r *Route, services map[string]bool) {
	switch {
	case r.Host == "" || r.Host != strings.ToLower(r.Host):
		c.add(r.Name, "host", r.Host, "host is empty or has capital letters", "use the host name in lower case")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		c.add(r.Name, "prefix", r.Prefix, "prefix does not begin and end with a slash", "use for example /orders/")
	}
	if r.Kind > Download {
		c.add(r.Name, "kind", r.Kind.String(), "unknown kind", kindRemedy)
	}
	if r.Timeout <= 0 || r.Timeout > MaxTimeout {
		c.add(r.Name, "timeout_ms", r.Timeout.String(), "timeout is out of range", "use 1 to 600000 ms")
	}
	if r.Goal < 0 {
		c.add(r.Name, "goal_ms", r.Goal.String(), "latency objective is negative", "use 0 or more")
	}
	if r.Priority < 0 {
		c.add(r.Name, "priority", fmt.Sprint(r.Priority), "priority is negative", "use 0 for the most urgent")
	}
	if r.MaxAttempts < 1 {
		c.add(r.Name, "max_attempts", fmt.Sprint(r.MaxAttempts), "at least one attempt is required", "use 1 or more")
	}
	c.checkRegions(r)
	c.checkShares(r, services)
}

// checkRegions checks the form of the names only. Whether a region exists is not known here: the
// deployment may grow.
func (c *checker) checkRegions(r *Route) {
	if len(r.Regions) > MaxRegions {
		c.add(r.Name, regionsColumn, fmt.Sprint(len(r.Regions)), "too many regions", fmt.Sprintf("list at most %d, or none to allow all", MaxRegions))
	}
	for _, region := range r.Regions {
		// A name that can never match would take the route out of service, and an empty list allows all regions.
		if region == "" || strings.ContainsFunc(region, func(c rune) bool { return unicode.IsSpace(c) || unicode.IsControl(c) }) {
			c.add(r.Name, regionsColumn, strconv.Quote(region), "region is empty or has a space or control character", "use the name of a region, or no list to allow all")
		}
	}
}

func (c *checker) checkShares(r *Route, services map[string]bool) {
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
		if !services[s.Service] {
			c.add(r.Name, "service", s.Service, "service is not in the table", "add the service or correct its name")
		}
		if s.Weight > MaxWeight {
			c.add(r.Name, "weight", fmt.Sprint(s.Weight), "weight is too large", fmt.Sprintf("use at most %d", MaxWeight))
		}
	}
	if len(r.Shares) == 0 || len(r.Shares) > MaxShares || total == 0 {
		c.add(r.Name, "service", "", "no service gets the route's requests", fmt.Sprintf("list 1 to %d services, at least one of them with a weight above 0", MaxShares))
	}
}
