package table

import (
	"encoding/csv"
	"io"
)

// WriteCSV writes the table in the form that ParseCSV reads, with LF line ends.
func WriteCSV(w io.Writer, t *Table) error {
	out := csv.NewWriter(w)
	_ = out.Write(t.Layout.Columns()) // the error is kept until Error
	for i := range t.Rows {
		_ = out.Write(t.Rows[i].cells())
	}
	out.Flush()
	return out.Error()
}
