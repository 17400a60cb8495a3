package route

import (
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// columns holds the column names of the CSV format, in order.
var columns = []string{"route", "host", "prefix", "kind", "timeout_ms", "goal_ms", "priority", "max_attempts", "services"}

// regionsColumn is the name of the last column, which is left out of a table without lists of regions.
const regionsColumn = "regions"

// regionalColumns holds the column names of a table with lists of regions.
var regionalColumns = append(slices.Clone(columns), regionsColumn)

// columns returns the column names of the table.
func (t *Table) columns() []string {
	if t.regional {
		return regionalColumns
	}
	return columns
}

// maxFileBytes bounds the size of a CSV file; 1,000 routes need 0.1 MB.
const maxFileBytes = 16 << 20

// WriteCSV writes the routes as CSV. The column services holds SERVICE:WEIGHT pairs separated by
// spaces. The column regions holds region names separated by spaces, none for all regions; it is
// written only if a route has such a list.
func (t *Table) WriteCSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	header := t.columns()
	if err := writer.Write(header); err != nil {
		return err
	}
	for i := range t.Routes {
		if err := writer.Write(t.Routes[i].cells()[:len(header)]); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

// cells returns the CSV cells of the route, in the order of regionalColumns.
func (r *Route) cells() []string {
	shares := make([]string, len(r.Shares))
	for i, s := range r.Shares {
		shares[i] = s.Service + ":" + strconv.FormatUint(uint64(s.Weight), 10)
	}
	return []string{
		r.Name, r.Host, r.Prefix, r.Kind.String(), strconv.FormatInt(r.Timeout.Milliseconds(), 10), strconv.FormatInt(r.Goal.Milliseconds(), 10),
		strconv.Itoa(r.Priority), strconv.Itoa(r.MaxAttempts), strings.Join(shares, " "),
		strings.Join(r.Regions, " "),
	}
}

// ParseCSV reads routes from CSV and validates them. The table's services are those that the
// routes refer to. The error is a *Faults: either all faults of the syntax or, when the file can
// be parsed, all faults of validation. A fault names the line of the file if the route has no
// name.
func ParseCSV(r io.Reader) (*Table, error) {
	reader := csv.NewReader(io.LimitReader(r, maxFileBytes))
	header, err := reader.Read() // sets the number of fields of all lines
	if err != nil || !slices.Equal(header, columns) && !slices.Equal(header, regionalColumns) {
		return nil, singleFault("header", "", strings.Join(header, ","), "the header does not have the columns of a route table",
			"use "+strings.Join(columns, ",")+" and, for lists of regions, "+regionsColumn)
	}
	c := &checker{}
	var routes []Route
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		line, _ := reader.FieldPos(0)
		if err != nil {
			c.add(fmt.Sprintf("line %d", line), "", "", err.Error(), "write each line with "+strconv.Itoa(len(header))+" cells")
			break
		}
		routes = append(routes, c.parseRoute(line, record))
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return New(1, routes, namedServices(routes), Limits{})
}

// singleFault returns a *Faults with one fault.
func singleFault(route, column, value, problem, remedy string) error {
	c := &checker{}
	c.add(route, column, value, problem, remedy)
	return c.err()
}

// parseRoute converts the cells of one line to a route and collects the faults of the cells.
func (c *checker) parseRoute(line int, cells []string) Route {
	name := cells[0]
	if name == "" {
		name = fmt.Sprintf("line %d", line)
	}
	number := func(column int) int {
		n, err := strconv.Atoi(cells[column])
		if err != nil {
			c.add(name, columns[column], cells[column], "value is not a whole number", "use digits only")
		}
		return n
	}
	r := Route{Name: name, Host: cells[1], Prefix: cells[2]}
	kind := slices.Index(kindNames, cells[3])
	if kind < 0 {
		c.add(name, columns[3], cells[3], "unknown kind", kindRemedy)
		kind = 0
	}
	r.Kind = Kind(kind)
	r.Timeout = time.Duration(number(4)) * time.Millisecond
	r.Goal = time.Duration(number(5)) * time.Millisecond
	r.Priority, r.MaxAttempts = number(6), number(7)
	for _, share := range strings.Fields(cells[8]) {
		service, weight, _ := strings.Cut(share, ":")
		n, err := strconv.ParseUint(weight, 10, 32)
		if err != nil {
			c.add(name, columns[8], share, "share does not have the form SERVICE:WEIGHT", "use for example shifts:90 shifts-next:10")
		}
		r.Shares = append(r.Shares, Share{Service: service, Weight: uint32(n)})
	}
	if len(cells) > len(columns) {
		r.Regions = strings.Fields(cells[len(columns)])
	}
	return r
}

// namedServices returns the services that the routes refer to, sorted by name.
func namedServices(routes []Route) []Service {
	var services []Service
	for _, r := range routes {
		for _, s := range r.Shares {
			if !slices.ContainsFunc(services, func(o Service) bool { return o.Name == s.Service }) {
				services = append(services, Service{Name: s.Service})
			}
		}
	}
	slices.SortFunc(services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// Changes describes the difference between two tables, one line for each route that was added,
// changed or removed.
func Changes(from, to *Table) []string {
	oldRoutes := make(map[Key]*Route, len(from.Routes))
	for i := range from.Routes {
		oldRoutes[from.Routes[i].key()] = &from.Routes[i]
	}
	lines := []string{}
	for i := range to.Routes {
		r := &to.Routes[i]
		previous := oldRoutes[r.key()]
		delete(oldRoutes, r.key())
		switch {
		case previous == nil:
			lines = append(lines, "added "+r.Name+": "+r.Host+r.Prefix)
		case !previous.Equal(r):
			lines = append(lines, "changed "+r.Name+": "+changedCells(previous, r))
		}
	}
	for _, r := range from.Routes {
		if oldRoutes[r.key()] != nil {
			lines = append(lines, "removed "+r.Name+": "+r.Host+r.Prefix)
		}
	}
	return lines
}

// none stands for an empty cell in a list of changes.
const none = "(none)"

// changedCells lists the cells that differ between two versions of a route.
func changedCells(previous, current *Route) string {
	before, after := previous.cells(), current.cells()
	var parts []string
	for i, column := range regionalColumns {
		if before[i] != after[i] {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", column, cmp.Or(before[i], none), cmp.Or(after[i], none)))
		}
	}
	return strings.Join(parts, ", ")
}
