// Package table implements the configuration table that operators edit: its rows, parsing and
// writing of its CSV format, validation, and the differences between two tables.
package table

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"mangoshed.example/mangoshed/core/model"
)

// Limits of a table. They bound the memory that an untrusted table can use: MaxCells cells need
// 8 MB; a table of the design size has 26,000 cells.
const (
	MaxRows        = 10_000
	MaxDataCentres = 128
	MaxRegions     = 32
	MaxCells       = 1_000_000
	// MaxWeight keeps the sum of the weights of a row far below a 32-bit overflow.
	MaxWeight = 1_000_000
	// MaxLimit is the largest rate limit, in calls per second.
	MaxLimit = 1_000_000_000
	// NoLimit is the value of LimitPerSecond when the CSV cell is empty.
	NoLimit = math.MaxUint32

	MinDeadline = time.Millisecond
	MaxDeadline = 10 * time.Minute
)

// Idempotency defines which requests of a service may be retried after they may have been
// executed.
type Idempotency uint8

// Values of the column idempotent.
const (
	None  Idempotency = iota
	Reads             // GET, HEAD and OPTIONS
	All
)

// idempotencyNames holds the CSV names, indexed by Idempotency.
var idempotencyNames = []string{"none", "reads", "all"}

// String returns the name in the CSV format.
func (i Idempotency) String() string {
	if int(i) < len(idempotencyNames) {
		return idempotencyNames[i]
	}
	return fmt.Sprintf("idempotency(%d)", uint8(i))
}

// Cell holds the traffic weight and the rate limit of a service in one data centre or region.
type Cell struct {
	// Weight is relative to the sum of the row's weights, from 0 to MaxWeight.
	Weight uint32
	// LimitPerSecond is the number of calls per second over all daemons, or NoLimit.
	LimitPerSecond uint32
}

// Layout lists the data centres and regions for which a table has columns. Both lists are sorted.
type Layout struct {
	DataCentres []model.Place
	Regions     []string
}

// Equal reports whether both layouts have the same columns.
func (l Layout) Equal(other Layout) bool {
	return slices.Equal(l.DataCentres, other.DataCentres) && slices.Equal(l.Regions, other.Regions)
}

// Row configures one service. DataCentres and Regions hold one cell for each data centre and
// region of the layout, in the same order.
type Row struct {
	Service     string
	Idempotent  Idempotency
	Internal    bool
	Deadline    time.Duration // a multiple of 1 ms, from MinDeadline to MaxDeadline
	DataCentres []Cell
	Regions     []Cell
}

// MayRepeat reports whether a request with the method may be retried when an earlier attempt may
// have been executed.
func (r *Row) MayRepeat(method string) bool {
	switch r.Idempotent {
	case All:
		return true
	case Reads:
		return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	}
	return false
}

// Equal reports whether both rows hold the same values.
func (r *Row) Equal(other *Row) bool {
	return r.Service == other.Service && r.Idempotent == other.Idempotent && r.Internal == other.Internal && r.Deadline == other.Deadline &&
		slices.Equal(r.DataCentres, other.DataCentres) && slices.Equal(r.Regions, other.Regions)
}

// Table is the configuration of all services. Its rows are sorted by service. ParseCSV returns
// only valid tables; other tables are checked by Validate.
type Table struct {
	Layout Layout
	Rows   []Row
}

// Row returns the row of the service.
func (t *Table) Row(service string) (*Row, bool) {
	i, ok := sort.Find(len(t.Rows), func(i int) int { return strings.Compare(service, t.Rows[i].Service) })
	if !ok {
		return nil, false
	}
	return &t.Rows[i], true
}

// comparePlaces orders data centres by region and then by name.
func comparePlaces(a, b model.Place) int {
	if c := strings.Compare(a.Region, b.Region); c != 0 {
		return c
	}
	return strings.Compare(a.DataCentre, b.DataCentre)
}

// IsLabel reports whether s is a DNS label: 1 to 63 lower-case letters, digits and
// inner hyphens.
func IsLabel(s string) bool {
	if len(s) == 0 || len(s) > 63 || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
