package table

import "strings"

// Values of RowChange.Kind.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// FieldChange is a cell whose text differs. The text of a missing cell is empty.
type FieldChange struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// RowChange is a row that was added, removed or changed. Fields lists the cells that differ; for
// an added or removed row these are all cells that are not empty.
type RowChange struct {
	Service string        `json:"service"`
	Kind    string        `json:"kind"` // Added, Removed or Changed
	Fields  []FieldChange `json:"fields"`
}

// String returns the change as one line of text.
func (c RowChange) String() string {
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = f.Column + " " + orDash(f.Old) + " -> " + orDash(f.New)
	}
	return c.Kind + " " + c.Service + ": " + strings.Join(fields, ", ")
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Diff returns the rows that differ between two valid tables, sorted by service. A column that
// only one table has is compared as if it were empty in the other one.
func Diff(old, new *Table) []RowChange {
	columns := unionColumns(old.Layout, new.Layout)
	sameLayout := old.Layout.Equal(new.Layout)
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
			if !sameLayout || !old.Rows[i].Equal(&new.Rows[j]) {
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

// unionColumns returns the columns of b without the service column, followed by the columns
// that only a has.
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

// texts returns the cells of row i by column name.
func (t *Table) texts(i int) map[string]string {
	cells := t.Rows[i].cells()
	texts := make(map[string]string, len(cells))
	for k, name := range t.Layout.Columns() {
		texts[name] = cells[k]
	}
	return texts
}

// diffFields returns the columns whose texts differ.
func diffFields(columns []string, old, new map[string]string) []FieldChange {
	var fields []FieldChange
	for _, name := range columns {
		if old[name] != new[name] {
			fields = append(fields, FieldChange{Column: name, Old: old[name], New: new[name]})
		}
	}
	return fields
}
