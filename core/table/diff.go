package table

import "strings"

// Kinds of RowChange.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// FieldChange is one cell that differs; the text of an absent cell is empty.
type FieldChange struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// RowChange is one row that differs. Fields lists the cells that differ, or all filled
// cells of an added or removed row.
type RowChange struct {
	Service string        `json:"service"`
	Kind    string        `json:"kind"` // Added, Removed or Changed
	Fields  []FieldChange `json:"fields"`
}

// String returns the change on one line.
func (c RowChange) String() string {
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = f.Column + " " + orDash(f.Old) + " -> " + orDash(f.New)
	}
	return c.Kind + " " + c.Service + ": " + strings.Join(fields, ", ")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Diff returns the rows that differ between two valid tables, sorted by service. A
// column that one table lacks counts as empty there.
func Diff(old, new *Table) []RowChange {
	columns := unionColumns(old.Layout, new.Layout)
	same := old.Layout.Equal(new.Layout)
	var changes []RowChange
	i, j := 0, 0
	for i < len(old.Rows) || j < len(new.Rows) {
		switch {
		case j == len(new.Rows) || i < len(old.Rows) && old.Rows[i].Service < new.Rows[j].Service:
			changes = append(changes, RowChange{old.Rows[i].Service, Removed, diffFields(columns, old.texts(i), nil)})
			i++
		case i == len(old.Rows) || new.Rows[j].Service < old.Rows[i].Service:
			changes = append(changes, RowChange{new.Rows[j].Service, Added, diffFields(columns, nil, new.texts(j))})
			j++
		default:
			if !same || !old.Rows[i].Equal(&new.Rows[j]) {
				if fields := diffFields(columns, old.texts(i), new.texts(j)); len(fields) > 0 {
					changes = append(changes, RowChange{new.Rows[j].Service, Changed, fields})
				}
			}
			i++
			j++
		}
	}
	return changes
}

// unionColumns returns the columns of b after the service, then those that only a has.
func unionColumns(a, b Layout) []string {
	columns := b.Columns()[1:]
	known := make(map[string]bool, len(columns))
	for _, name := range columns {
		known[name] = true
	}
	for _, name := range a.Columns()[1:] {
		if !known[name] {
			columns = append(columns, name)
		}
	}
	return columns
}

// texts returns the texts of row i by column.
func (t *Table) texts(i int) map[string]string {
	cells := t.Rows[i].cells()
	texts := make(map[string]string, len(cells))
	for k, name := range t.Layout.Columns() {
		texts[name] = cells[k]
	}
	return texts
}

func diffFields(columns []string, old, new map[string]string) []FieldChange {
	var fields []FieldChange
	for _, name := range columns {
		if old[name] != new[name] {
			fields = append(fields, FieldChange{Column: name, Old: old[name], New: new[name]})
		}
	}
	return fields
}
