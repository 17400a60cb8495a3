// Package route holds the route table of a deployment. A route defines which services handle a
// request, how many attempts it gets, its timeout and its priority under load. A table is immutable.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind classifies the requests of a route by size and by whether they may be retried.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests must be executed at most once.
	Unsafe Kind = iota
	// Safe requests may be executed more than once.
	Safe
	// Upload requests have large bodies and must be executed at most once.
	Upload
	// Download requests have large responses and may be executed more than once.
	Download
)

// kindNames holds the CSV name of each kind, indexed by Kind.
var kindNames = []string{"unsafe", "safe", "upload", "download"}

// kindRemedy is the remedy for an unknown kind.
const kindRemedy = "use safe, unsafe, upload or download"

// String returns the name of the kind in the CSV format.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// MayRepeat reports whether a request may be retried when an earlier attempt may have been
// executed.
func (k Kind) MayRepeat() bool { return k == Safe || k == Download }

// Share assigns a weighted part of a route's requests to a service.
type Share struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight uint32
}

// Route sends the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the time until the final response, over all attempts.
	Timeout time.Duration
	// Goal is the latency objective.
	Goal time.Duration
	// Priority orders routes under load; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of upstreams that one request is sent to.
	MaxAttempts int
	// Shares is not empty; a single share receives all requests.
	Shares []Share
	// Regions are the regions whose upstreams may get the route's requests, sorted; empty means all
	// regions. An empty list adds nothing to the messages between daemons.
	Regions []string `cbor:",omitempty" json:",omitempty"`
}

// Allows reports whether the route's requests may reach upstreams in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Equal reports whether both routes hold the same values.
func (r *Route) Equal(other *Route) bool {
	return r.Name == other.Name && r.Host == other.Host && r.Prefix == other.Prefix && r.Kind == other.Kind && r.Timeout == other.Timeout &&
		r.Goal == other.Goal && r.Priority == other.Priority && r.MaxAttempts == other.MaxAttempts && slices.Equal(r.Shares, other.Shares) &&
		slices.Equal(r.Regions, other.Regions)
}

// Service holds the health check path of a service's upstreams, and what one of them takes.
type Service struct {
	Name string
	// HealthPath is the path of an upstream's health check.
	HealthPath string
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// ColdPerSecond is the number of requests per second that an upstream takes while it is cold; 0 for
	// no limit. ColdStart is the time for which it is cold after its start; 0 if unknown.
	ColdPerSecond float64
	ColdStart     time.Duration
}

// Limits bounds the size and the timing of callers' requests. A zero field sets no limit.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the route table. New returns only valid tables.
type Table struct {
	Version  uint64
	Routes   []Route // sorted by host, then prefix
	Services []Service
	Limits   Limits

	hosts map[string]*hostRoutes
	// regional is set if a route has a list of regions.
	regional bool
}

// hostRoutes indexes the routes of one host by prefix.
type hostRoutes struct {
	byPrefix map[string]*Route
}

// New returns a table after validating it. The error is a *Faults with all faults.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Routes: slices.Clone(routes), Services: slices.Clone(services), Limits: limits}
	slices.SortFunc(t.Routes, func(a, b Route) int {
		if c := strings.Compare(a.Host, b.Host); c != 0 {
			return c
		}
		return strings.Compare(a.Prefix, b.Prefix)
	})
	for i := range t.Routes {
		t.Routes[i].Regions = sortedSet(t.Routes[i].Regions)
	}
	if err := t.validate(); err != nil {
		return nil, err
	}
	t.index()
	return t, nil
}

// sortedSet returns the names sorted and without duplicates, nil if there are none. Two lists of the
// same regions are then equal, whatever their order.
func sortedSet(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

func (t *Table) index() {
	t.hosts = make(map[string]*hostRoutes)
	for i := range t.Routes {
		r := &t.Routes[i]
		h := t.hosts[r.Host]
		if h == nil {
			h = &hostRoutes{byPrefix: make(map[string]*Route)}
			t.hosts[r.Host] = h
		}
		h.byPrefix[r.Prefix] = r
		t.regional = t.regional || len(r.Regions) > 0
	}
}

// Regional reports whether a route has a list of regions.
func (t *Table) Regional() bool { return t.regional }

// Match returns the route whose prefix is the longest one that matches the path, or nil if no
// route matches. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	h := t.hosts[strings.ToLower(host)]
	if h == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := h.byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Governing returns the route whose rules apply to a request that was accepted under the route with the
// name, possibly in another version of the table: the one that matches the request now or, if none
// does, the one with that name. It returns nil if the table has neither.
func (t *Table) Governing(name, host, path string) *Route {
	if r := t.Match(host, path); r != nil {
		return r
	}
	for i := range t.Routes {
		if t.Routes[i].Name == name {
			return &t.Routes[i]
		}
	}
	return nil
}

// Allows reports whether a request that was accepted under the route with the name may reach
// upstreams in a region. A request that has no route in the table is not restricted by it.
func (t *Table) Allows(name, host, path, region string) bool {
	if !t.regional {
		return true
	}
	r := t.Governing(name, host, path)
	return r == nil || r.Allows(region)
}

// Service returns the service with the name.
func (t *Table) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Choose selects a service for a request by weight. point is uniformly distributed in [0, 1).
func (r *Route) Choose(point float64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	offset := point * float64(total)
	for _, s := range r.Shares {
		if offset < float64(s.Weight) {
			return s.Service
		}
		offset -= float64(s.Weight)
	}
	return r.Shares[len(r.Shares)-1].Service
}
