package table

import (
	"encoding/csv"
	"io"
)

// WriteCSV writes the table in the format that ParseCSV reads, with LF line endings.
func WriteCSV(w io.Writer, t *Table) error {
	writer := csv.NewWriter(w)
	_ = writer.Write(t.Layout.Columns()) // csv.Writer keeps the first error for Error
	for i := range t.Rows {
		_ = writer.Write(t.Rows[i].cells())
	}
	writer.Flush()
	return writer.Error()
}
