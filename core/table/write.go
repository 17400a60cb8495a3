package table

import (
	"encoding/csv"
	"io"
)

// WriteCSV writes the table in the format that ParseCSV reads, with LF line endings.
func WriteCSV(w io.Writer, t *Table) error {
	out := csv.NewWriter(w)
	_ = out.Write(t.Layout.Columns()) // csv.Writer keeps the first error for Error
	for i := range t.Rows {
		_ = out.Write(t.Rows[i].cells())
	}
	out.Flush()
	return out.Error()
}
