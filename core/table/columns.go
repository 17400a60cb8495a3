package table

import (
	"strconv"
	"strings"
)

// Column names. The columns of a data centre or region are a prefix followed by REGION/DC or
// REGION.
const (
	columnService    = "service"
	columnIdempotent = "idempotent"
	columnInternal   = "internal"
	columnDeadline   = "deadline_ms"
	prefixWeight     = "weight:"
	prefixLimit      = "limit_per_s:"
)

// fixedColumns holds the columns that every table has, in the order of WriteCSV.
var fixedColumns = []string{columnService, columnIdempotent, columnInternal, columnDeadline}

// places returns the names of all data centres and regions in column order.
func (l Layout) places() []string {
	names := make([]string, 0, len(l.DataCentres)+len(l.Regions))
	for _, dc := range l.DataCentres {
		names = append(names, dc.String())
	}
	return append(names, l.Regions...)
}

// Columns returns the names of all columns in the order of WriteCSV.
func (l Layout) Columns() []string {
	names := append([]string(nil), fixedColumns...)
	for _, place := range l.places() {
		names = append(names, prefixWeight+place, prefixLimit+place)
	}
	return names
}

// cells returns the CSV cells of the row in the order of Layout.Columns.
func (r *Row) cells() []string {
	internal := "no"
	if r.Internal {
		internal = "yes"
	}
	texts := []string{r.Service, r.Idempotent.String(), internal, strconv.FormatInt(r.Deadline.Milliseconds(), 10)}
	for _, cells := range [][]Cell{r.DataCentres, r.Regions} {
		for _, cell := range cells {
			limit := ""
			if cell.LimitPerSecond != NoLimit {
				limit = strconv.FormatUint(uint64(cell.LimitPerSecond), 10)
			}
			texts = append(texts, strconv.FormatUint(uint64(cell.Weight), 10), limit)
		}
	}
	return texts
}

// splitPlaceColumn returns the REGION/DC or REGION of a weight or limit column, and whether it is
// a limit column. ok is false for other columns.
func splitPlaceColumn(column string) (place string, limit, ok bool) {
	if place, ok = strings.CutPrefix(column, prefixWeight); ok {
		return place, false, true
	}
	place, ok = strings.CutPrefix(column, prefixLimit)
	return place, true, ok
}
