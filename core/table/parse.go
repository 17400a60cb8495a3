package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"mangoshed.example/mangoshed/core/model"
)

// MaxFileBytes bounds the size of a CSV file; a table of the design size has 0.2 MB.
const MaxFileBytes = 8 << 20

// maxColumns is the number of columns in the largest layout.
const maxColumns = 4 + 2*(MaxDataCentres+MaxRegions)

const (
	remedyIdempotent = "use none, reads or all"
	remedyInternal   = "use yes or no"
	remedyText       = "export the sheet as CSV in UTF-8"
)

// ParseCSV reads a table in the CSV variants that spreadsheets export: with or without a byte
// order mark, with LF or CRLF, with quoted or unquoted cells, separated by commas or semicolons,
// with or without blank lines. The error is an *Errors with all faults of the file. The parameter
// file is the file name for these messages.
func ParseCSV(file string, r io.Reader) (*Table, error) {
	p := &parser{faults: faults{file: file}}
	data, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		p.add(0, "", "", "file cannot be read: "+err.Error(), "check the file and its permissions")
		return nil, p.err()
	}
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	if !p.checkText(data) {
		return nil, p.err()
	}
	p.parseRecords(data)
	if err := p.err(); err != nil {
		return nil, err
	}
	slices.SortFunc(p.table.Rows, func(a, b Row) int { return strings.Compare(a.Service, b.Service) })
	return &p.table, nil
}

// parser holds the state of one ParseCSV call.
type parser struct {
	faults
	table Table
	// columns and places have one element for each column of the header. For a weight or limit
	// column, places holds the index of its data centre or region in Layout.places.
	columns   []string
	places    []int
	firstLine map[string]int // first line of each service
}

// checkText checks that data is UTF-8 text of an acceptable size and records a fault otherwise.
func (p *parser) checkText(data []byte) bool {
	line := func(i int) int { return 1 + bytes.Count(data[:i], []byte("\n")) }
	switch {
	case len(data) > MaxFileBytes:
		p.add(0, "", "", "file is too large", fmt.Sprintf("use at most %d bytes", MaxFileBytes))
	case len(bytes.TrimSpace(data)) == 0:
		p.add(0, "", "", "file is empty", "add a header and one row per service")
	case bytes.IndexByte(data, 0) >= 0:
		p.add(line(bytes.IndexByte(data, 0)), "", "", "file is not text (it contains a zero byte)", remedyText)
	case !utf8.Valid(data):
		i := 0
		for i < len(data) {
			c, n := utf8.DecodeRune(data[i:])
			if c == utf8.RuneError && n == 1 {
				break
			}
			i += n
		}
		p.add(line(i), "", "", fmt.Sprintf("file is not UTF-8 text (byte 0x%02x)", data[i]), remedyText)
	default:
		return true
	}
	return false
}

// parseRecords parses the header and all rows, and records their faults.
func (p *parser) parseRecords(data []byte) {
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	reader.ReuseRecord = true
	header, _, _ := bytes.Cut(bytes.TrimLeft(data, "\r\n"), []byte("\n"))
	if !bytes.ContainsRune(header, ',') && bytes.ContainsRune(header, ';') {
		reader.Comma = ';'
	}
	rows := 0
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseError *csv.ParseError
		if errors.As(err, &parseError) {
			p.add(parseError.StartLine, "", "", "quotes are not balanced: "+parseError.Err.Error(),
				"quote the whole cell and double each quote inside it")
			if p.columns == nil {
				return // without a header, every cell would be reported as a fault
			}
			rows++
			continue
		}
		blank := true
		for i, cell := range record {
			record[i] = strings.TrimSpace(cell)
			blank = blank && record[i] == ""
		}
		if blank {
			continue
		}
		line, _ := reader.FieldPos(0)
		if p.columns == nil {
			if !p.header(line, record) {
				return
			}
			continue
		}
		if rows++; rows <= MaxRows { // checkSize reports the rows above the limit
			p.row(line, record)
		}
	}
	checkSize(&p.faults, rows, p.table.Layout)
}

// header reads the column names and derives the layout from them. It returns false if there are
// too many columns, in which case the rows are not read.
func (p *parser) header(line int, record []string) bool {
	for len(record) > 0 && record[len(record)-1] == "" {
		record = record[:len(record)-1]
	}
	if len(record) > maxColumns {
		p.add(line, "", strconv.Itoa(len(record)), "too many columns", fmt.Sprintf("use at most %d", maxColumns))
		return false
	}
	p.columns = slices.Clone(record)
	p.firstLine = map[string]int{}
	present := map[string]bool{}
	var places []string
	for i, name := range p.columns {
		place, _, isPlace := splitPlaceColumn(name)
		switch {
		case present[name]:
			p.add(line, name, "", "duplicate column", "remove one of the columns or correct its name")
			p.columns[i] = ""
		case name == "":
			p.add(line, "", "", fmt.Sprintf("column %d has no name", i+1), "name the column or remove it")
		case isPlace:
			places = append(places, place)
		case !slices.Contains(fixedColumns, name):
			p.add(line, name, "", "unknown column",
				"remove it, or use service, idempotent, internal, deadline_ms, weight:PLACE or limit_per_s:PLACE with REGION/DC or REGION as PLACE")
		}
		present[name] = true
	}
	p.setLayout(places)
	for _, name := range p.table.Layout.Columns() {
		if !present[name] {
			p.add(line, name, "", "missing column", "add the column")
		}
	}
	return true
}

// setLayout sets the layout and the index of each column's data centre or region, and records
// faults of the layout.
func (p *parser) setLayout(places []string) {
	l := &p.table.Layout
	for _, place := range places {
		if region, dc, ok := strings.Cut(place, "/"); ok {
			l.DataCentres = append(l.DataCentres, model.Place{Region: region, DataCentre: dc})
		} else {
			l.Regions = append(l.Regions, place)
		}
	}
	slices.SortFunc(l.DataCentres, comparePlaces)
	l.DataCentres = slices.Compact(l.DataCentres)
	slices.Sort(l.Regions)
	l.Regions = slices.Compact(l.Regions)
	l.check(&p.faults)
	index := map[string]int{}
	for i, name := range l.places() {
		index[name] = i
	}
	p.places = make([]int, len(p.columns))
	for i, name := range p.columns {
		place, _, _ := splitPlaceColumn(name)
		p.places[i] = index[place]
	}
}

// row parses one line. A cell that cannot be parsed is replaced by a valid value, so that it is
// not reported a second time by checkRow.
func (p *parser) row(line int, record []string) {
	l := p.table.Layout
	cells := make([]Cell, len(l.DataCentres)+len(l.Regions))
	for i := range cells {
		cells[i] = Cell{Weight: 1, LimitPerSecond: NoLimit}
	}
	dataCentres := len(l.DataCentres)
	row := Row{Service: "unknown", Deadline: time.Second, DataCentres: cells[:dataCentres:dataCentres], Regions: cells[dataCentres:]}
	if len(record) < len(p.columns) {
		p.add(line, p.columns[len(record)], "", fmt.Sprintf("short row: %d of %d cells", len(record), len(p.columns)),
			"fill in the missing cells; check for a missing separator")
	}
	for i, text := range record {
		switch {
		case i >= len(p.columns) && text != "":
			p.add(line, "", text, fmt.Sprintf("cell %d has no column in the header", i+1),
				"remove the cell; check for a separator inside an unquoted cell")
		case i < len(p.columns):
			p.cell(line, i, text, &row, cells)
		}
	}
	if slices.Contains(p.columns, columnService) && len(record) > slices.Index(p.columns, columnService) {
		if first, ok := p.firstLine[row.Service]; ok {
			p.add(line, columnService, row.Service, fmt.Sprintf("duplicate service, first in row %d", first), "keep one row per service")
		} else {
			p.firstLine[row.Service] = line
		}
	}
	checkRow(&p.faults, line, l, &row)
	p.table.Rows = append(p.table.Rows, row)
}

// cell parses the text of one cell into the row.
func (p *parser) cell(line, column int, text string, row *Row, cells []Cell) {
	name := p.columns[column]
	switch name {
	case columnService:
		row.Service = strings.Clone(text)
	case columnIdempotent:
		i := slices.Index(idempotencyNames, text)
		if i < 0 {
			p.add(line, name, text, "unknown value", remedyIdempotent)
			return
		}
		row.Idempotent = Idempotency(i)
	case columnInternal:
		row.Internal = text == "yes"
		if text != "yes" && text != "no" {
			p.add(line, name, text, "unknown value", remedyInternal)
		}
	case columnDeadline:
		if ms, ok := p.number(line, name, text, MinDeadline.Milliseconds(), MaxDeadline.Milliseconds(), remedyDeadline); ok {
			row.Deadline = time.Duration(ms) * time.Millisecond
		}
	default:
		_, limit, ok := splitPlaceColumn(name)
		if !ok {
			return
		}
		cell := &cells[p.places[column]]
		if !limit {
			if n, ok := p.number(line, name, text, 0, MaxWeight, remedyWeight); ok {
				cell.Weight = uint32(n)
			}
		} else if text != "" {
			if n, ok := p.number(line, name, text, 0, MaxLimit, remedyLimit); ok {
				cell.LimitPerSecond = uint32(n)
			}
		}
	}
}

// number parses a whole number in the range from lowest to highest, and records a fault if the
// text is not such a number.
func (p *parser) number(line int, column, text string, lowest, highest int64, remedy string) (int64, bool) {
	problem := ""
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case text == "":
		problem = "number is missing"
	case err != nil:
		problem = numberProblem(text)
	case n < 0:
		problem = "number is negative"
	case n < lowest:
		problem = "number is too small"
	case n > highest:
		problem = "number is too large"
	default:
		return n, true
	}
	p.add(line, column, text, problem, remedy)
	return 0, false
}

// numberProblem describes the fault of a text that is not a 64-bit integer. A negative number is
// reported as negative, even if it is also fractional or too low for 64 bits.
func numberProblem(text string) string {
	f, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return "number overflows"
	case err != nil:
		return "not a number"
	case f != f || f > 1e308 || f < -1e308:
		return "number is not finite"
	case f < 0:
		return "number is negative"
	case f >= 1<<63:
		return "number overflows"
	}
	return "not a whole number"
}
