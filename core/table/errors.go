package table

import (
	"fmt"
	"strings"

	"mangoshed.example/mangoshed/core/faultlist"
)

// Error is one parse or validation error of a table.
type Error struct {
	File string `json:"file,omitempty"`
	// Row is the line number in the file; the header is line 1. It is 0 if the fault concerns
	// the whole file.
	Row int `json:"row,omitempty"`
	// Column is the name of the column; empty if the fault concerns the whole row.
	Column  string `json:"column,omitempty"`
	Value   string `json:"value,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// maxShownValue bounds the length of a cell's text in an error message, in bytes.
const maxShownValue = 80

// Error returns the location, the value, the problem and the remedy on one line.
func (e *Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File + ": ")
	}
	if e.Row > 0 {
		fmt.Fprintf(&b, "row %d: ", e.Row)
	}
	if e.Column != "" {
		fmt.Fprintf(&b, "column %s: ", e.Column)
	}
	if e.Value != "" {
		fmt.Fprintf(&b, "value %q: ", e.Value)
	}
	return b.String() + e.Problem + "; " + e.Remedy
}

// Errors holds all faults of a table in the order in which they occur in the file.
type Errors = faultlist.List[*Error]

// faults collects the faults of one table.
type faults struct {
	file string
	list []*Error
}

// add records a fault and truncates a long value.
func (f *faults) add(row int, column, value, problem, remedy string) {
	if len(value) > maxShownValue {
		value = strings.ToValidUTF8(value[:maxShownValue], "") + "..."
	}
	f.list = append(f.list, &Error{File: f.file, Row: row, Column: column, Value: value, Problem: problem, Remedy: remedy})
}

// err returns the collected faults as an *Errors, or nil if there are none.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &Errors{List: f.list}
}
