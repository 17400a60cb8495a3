// Package route holds the route table of a deployment: which service answers a request, how
// often it may run, how long it may take and how urgent it is. A table is immutable.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Upload requests have large bodies and run at most once.
	Upload
	// Download requests have large answers and may run more than once.
	Download
)

// kindNames is indexed by Kind.
var kindNames = []string{"unsafe", "safe", "upload", "download"}

// kindRemedy says which kinds there are.
const kindRemedy = "use safe, unsafe, upload or download"

// String returns the name that the CSV form uses.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// MayRepeat reports whether a request may be sent again after it may have run.
func (k Kind) MayRepeat() bool { return k == Safe || k == Download }

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	// Weight is relative to the other weights of the route.
	Weight uint32
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// Goal is the latency objective.
	Goal time.Duration
	// Priority ranks routes under load, 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Shares is not empty; a single share takes all requests.
	Shares []Share
}

// Equal reports whether both routes hold the same values.
func (r *Route) Equal(s *Route) bool {
	return r.Name == s.Name && r.Host == s.Host && r.Prefix == s.Prefix && r.Kind == s.Kind && r.Timeout == s.Timeout &&
		r.Goal == s.Goal && r.Priority == s.Priority && r.MaxAttempts == s.MaxAttempts && slices.Equal(r.Shares, s.Shares)
}

// Service describes how a service is reached.
type Service struct {
	Name string
	// HealthPath answers whether an upstream considers itself healthy.
	HealthPath string
	// MaxConnections bounds the connections that one upstream accepts.
	MaxConnections int
}

// Limits bound what a caller may send. A zero field sets no limit.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is a valid route table of one version.
type Table struct {
	Version  uint64
	Routes   []Route // sorted by host, then prefix
	Services []Service
	Limits   Limits

	hosts map[string]*hostRoutes
}

// hostRoutes finds the routes of one host by prefix.
type hostRoutes struct {
	byPrefix map[string]*Route
}

// New validates the parts and returns a table. The error is a *faultlist.List of all faults.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Routes: slices.Clone(routes), Services: slices.Clone(services), Limits: limits}
	slices.SortFunc(t.Routes, func(a, b Route) int {
		if c := strings.Compare(a.Host, b.Host); c != 0 {
			return c
		}
		return strings.Compare(a.Prefix, b.Prefix)
	})
	if err := t.validate(); err != nil {
		return nil, err
	}
	t.index()
	return t, nil
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
	}
}

// Match returns the route with the longest prefix of the path, nil without one. The host may
// have a port.
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

// Service returns the description of a service.
func (t *Table) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Choose returns the service of a request. point is uniformly distributed in [0, 1).
func (r *Route) Choose(point float64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	at := point * float64(total)
	for _, s := range r.Shares {
		if at < float64(s.Weight) {
			return s.Service
		}
		at -= float64(s.Weight)
	}
	return r.Shares[len(r.Shares)-1].Service
}
