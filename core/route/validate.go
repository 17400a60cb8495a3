package route

import (
	"fmt"
	"strings"
	"time"

	"mangoshed.example/mangoshed/core/faultlist"
)

// Bounds of a table. They bound the memory that an untrusted table can take.
const (
	MaxRoutes = 100_000
	MaxShares = 64
	// MaxWeight keeps the sum of the weights of a route far below an overflow.
	MaxWeight = 1_000_000
	// MaxTimeout is the longest timeout that an operator may set.
	MaxTimeout = 10 * time.Minute
)

// Fault is one fault of a table.
type Fault struct {
	// Route names the route, or the line of a file; empty for the table as a whole.
	Route string `json:"route,omitempty"`
	// Column is the faulty field.
	Column  string `json:"column,omitempty"`
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// Error returns the place, the value, the problem and the remedy on one line.
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

// checker collects faults.
type checker struct{ list []*Fault }

func (c *checker) add(route, column, value, problem, remedy string) {
	c.list = append(c.list, &Fault{Route: route, Column: column, Value: value, Problem: problem, Remedy: remedy})
}

func (c *checker) err() error {
	if len(c.list) == 0 {
		return nil
	}
	return &Faults{List: c.list}
}

// validate checks a table whose routes are sorted.
func (t *Table) validate() error {
	c := &checker{}
	if len(t.Routes) > MaxRoutes {
		c.add("", "", fmt.Sprint(len(t.Routes)), "too many routes", fmt.Sprintf("use at most %d", MaxRoutes))
		return c.err()
	}
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		if s.Name == "" || services[s.Name] {
			c.add("", "service", s.Name, "service is unnamed or named twice", "name each service once")
		}
		services[s.Name] = true
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if i > 0 && t.Routes[i-1].Host == r.Host && t.Routes[i-1].Prefix == r.Prefix {
			c.add(r.Name, "prefix", r.Prefix, "route "+t.Routes[i-1].Name+" has the same host and prefix", "remove one of them")
		}
		c.route(r, services)
	}
	return c.err()
}

func (c *checker) route(r *Route, services map[string]bool) {
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
		c.add(r.Name, "max_attempts", fmt.Sprint(r.MaxAttempts), "no attempt is allowed", "use 1 or more")
	}
	c.shares(r, services)
}

func (c *checker) shares(r *Route, services map[string]bool) {
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
		if !services[s.Service] {
			c.add(r.Name, "service", s.Service, "the table does not describe the service", "add the service, or correct the name")
		}
		if s.Weight > MaxWeight {
			c.add(r.Name, "weight", fmt.Sprint(s.Weight), "weight is too large", fmt.Sprintf("use at most %d", MaxWeight))
		}
	}
	if len(r.Shares) == 0 || len(r.Shares) > MaxShares || total == 0 {
		c.add(r.Name, "service", "", "no service gets the route's requests", fmt.Sprintf("name 1 to %d services, one with a weight above 0", MaxShares))
	}
}
