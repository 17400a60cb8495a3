// Package table holds the configuration table that operators edit: its rows, the CSV
// form that spreadsheets export, its rules and the difference between two tables.
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

// Bounds of a table. They bound the memory that an untrusted table can take: MaxCells
// cells are 8 MB; the design size has 26,000.
const (
	MaxRows        = 10_000
	MaxDataCentres = 128
	MaxRegions     = 32
	MaxCells       = 1_000_000
	// MaxWeight keeps the sum of the weights of a row far below an overflow of 32 bits.
	MaxWeight = 1_000_000
	// MaxLimit is the largest limit in calls per second.
	MaxLimit = 1_000_000_000
	// NoLimit is the LimitPerSecond of an empty cell.
	NoLimit = math.MaxUint32

	MinDeadline = time.Millisecond
	MaxDeadline = 10 * time.Minute
)

// Idempotency says which requests of a service may be repeated.
type Idempotency uint8

// The values of the column idempotent.
const (
	None  Idempotency = iota
	Reads             // GET, HEAD and OPTIONS
	All
)

// idempotencyNames is indexed by Idempotency.
var idempotencyNames = []string{"none", "reads", "all"}

// String returns the value as the table's CSV form has it.
func (i Idempotency) String() string {
	if int(i) < len(idempotencyNames) {
		return idempotencyNames[i]
	}
	return fmt.Sprintf("idempotency(%d)", uint8(i))
}

// Cell is the share and the limit of a service in one data centre or region.
type Cell struct {
	// Weight is relative to the other weights of the row, from 0 to MaxWeight.
	Weight uint32
	// LimitPerSecond is in calls per second over all daemons, or NoLimit.
	LimitPerSecond uint32
}

// Layout lists the data centres and regions that a table has columns for, both sorted.
type Layout struct {
	DataCentres []model.Place
	Regions     []string
}

// Equal reports whether both layouts have the same columns.
func (l Layout) Equal(m Layout) bool {
	return slices.Equal(l.DataCentres, m.DataCentres) && slices.Equal(l.Regions, m.Regions)
}

// Row configures one service. DataCentres and Regions are parallel to the layout.
type Row struct {
	Service     string
	Idempotent  Idempotency
	Internal    bool
	Deadline    time.Duration // a multiple of 1 ms, from MinDeadline to MaxDeadline
	DataCentres []Cell
	Regions     []Cell
}

// MayRepeat reports whether a request with the method may be sent a second time after
// it may have run.
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
func (r *Row) Equal(s *Row) bool {
	return r.Service == s.Service && r.Idempotent == s.Idempotent && r.Internal == s.Internal && r.Deadline == s.Deadline &&
		slices.Equal(r.DataCentres, s.DataCentres) && slices.Equal(r.Regions, s.Regions)
}

// Table is a valid configuration; its rows are sorted by service.
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

// comparePlaces orders data centres by region, then by name.
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
