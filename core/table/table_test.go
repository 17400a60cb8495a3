package table

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
)

const (
	header = "service,idempotent,internal,deadline_ms,weight:klang/a,limit_per_s:klang/a,weight:klang/b,limit_per_s:klang/b,weight:klang,limit_per_s:klang\n"
	shifts = "shifts,reads,no,800,3,1200,1,,1,\n"
)

// manyRows returns n rows of different services.
func manyRows(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "s%d,reads,no,800,3,,1,,1,\n", i)
	}
	return b.String()
}

// Guards against faults that are not reported, are reported without their location or remedy, or
// hide other faults of the same file.
func TestParseCSVReportsFaults(t *testing.T) {
	for name, test := range map[string]struct {
		csv  string
		want []string // a part of each message, in order
	}{
		"empty":               {"", []string{"file is empty"}},
		"blank":               {"\ufeff\r\n\r\n", []string{"file is empty"}},
		"no rows":             {header, []string{"table has no rows"}},
		"binary":              {header + "a\x00b", []string{"row 2: file is not text"}},
		"utf-16":              {"s\x00e\x00", []string{"row 1: file is not text"}},
		"latin-1":             {header + shifts + "caf\xe9,none", []string{"row 3: file is not UTF-8 text (byte 0xe9)"}},
		"open quote":          {header + shifts + "\"open,none,no\n", []string{"row 3: quotes are not balanced"}},
		"bare quote":          {header + "a\"b,none,no,1,1,,1,,1,\n" + strings.Replace(shifts, "800", "0", 1), []string{"row 2: quotes", "row 3: column deadline_ms"}},
		"duplicate service":   {header + shifts + "\n" + shifts, []string{`row 4: column service: value "shifts": duplicate service, first in row 2; keep one`}},
		"service name":        {header + strings.Replace(shifts, "shifts", "Shifts_1", 1), []string{`value "Shifts_1": service name is not a DNS label`}},
		"service missing":     {header + strings.Replace(shifts, "shifts", "", 1), []string{"row 2: column service: service name"}},
		"idempotent":          {header + strings.Replace(shifts, "reads", "some", 1), []string{`value "some": unknown value; use none, reads or all`}},
		"internal":            {header + strings.Replace(shifts, "no", "TRUE", 1), []string{`value "TRUE": unknown value; use yes or no`}},
		"deadline zero":       {header + strings.Replace(shifts, "800", "0", 1), []string{`column deadline_ms: value "0": number is too small`}},
		"deadline high":       {header + strings.Replace(shifts, "800", "600001", 1), []string{`value "600001": number is too large; use whole milliseconds`}},
		"negative":            {header + strings.Replace(shifts, "1200", "-1", 1), []string{`column limit_per_s:klang/a: value "-1": number is negative`}},
		"negative fraction":   {header + strings.Replace(shifts, ",3,", ",-0.5,", 1), []string{`column weight:klang/a: value "-0.5": number is negative`}},
		"not finite":          {header + strings.Replace(shifts, "1200", "NaN", 1), []string{`value "NaN": number is not finite`}},
		"infinite":            {header + strings.Replace(shifts, "1200", "Inf", 1), []string{"number is not finite"}},
		"overflow":            {header + strings.Replace(shifts, "1200", "99999999999999999999", 1), []string{"number overflows"}},
		"float overflow":      {header + strings.Replace(shifts, "1200", "1e999", 1), []string{"number overflows"}},
		"too large":           {header + strings.Replace(shifts, ",3,", ",1000001,", 1), []string{"number is too large; use a whole number from 0 to 1000000"}},
		"fraction":            {header + strings.Replace(shifts, ",3,", ",2.5,", 1), []string{`value "2.5": not a whole number`}},
		"thousands separator": {header + strings.Replace(shifts, "1200", `"1,200"`, 1), []string{`value "1,200": not a number`}},
		"weight missing":      {header + strings.Replace(shifts, ",3,", ",,", 1), []string{"column weight:klang/a: number is missing"}},
		"zero sum":            {header + "shifts,reads,no,800,0,,0,,1,\n", []string{"row 2: value \"shifts\": data-centre weights sum to zero; give"}},
		"short row":           {header + "shifts,reads,no,800,3,\n" + shifts, []string{"row 2: column weight:klang/b: short row: 6 of 10 cells", "row 3: column service: value \"shifts\": duplicate"}},
		"long row":            {header + strings.TrimSpace(shifts) + ",7\n", []string{`row 2: value "7": cell 11 has no column`}},
		"missing column":      {strings.Replace(header, "internal,", "", 1) + "shifts,reads,800,3,,1,,1,\n", []string{"row 1: column internal: missing column"}},
		"missing limit":       {strings.Replace(header, ",limit_per_s:klang/b", "", 1) + "shifts,reads,no,800,3,,1,1,\n", []string{"column limit_per_s:klang/b: missing column"}},
		"extra column":        {strings.Replace(header, "internal", "internal,owner", 1) + "shifts,reads,no,bob,800,3,,1,,1,\n", []string{"column owner: unknown column"}},
		"duplicate column":    {strings.Replace(header, "klang/b", "klang/a", 2) + shifts, []string{"column weight:klang/a: duplicate column", "column limit_per_s:klang/a: duplicate column"}},
		"unnamed column":      {strings.Replace(header, "internal", "internal,", 1) + "shifts,reads,no,,800,3,,1,,1,\n", []string{"column 4 has no name"}},
		"undeclared region":   {strings.Replace(header, "klang/b", "penang/b", 2) + strings.Replace(shifts, ",3,", ",0,", 1), []string{`column weight:penang/b: value "penang": region is not declared; add the columns weight:penang and`, "column weight:klang: value \"1\": region receives calls"}},
		"region without data centre": {
			strings.TrimSpace(header) + ",weight:ipoh,limit_per_s:ipoh\nshifts,reads,no,800,3,,1,,1,,0,\n",
			[]string{`column weight:ipoh: value "ipoh": region has no data centre`},
		},
		"region that cannot take calls": {
			strings.TrimSpace(header) + ",weight:ipoh/a,limit_per_s:ipoh/a,weight:ipoh,limit_per_s:ipoh\nshifts,reads,no,800,3,,1,,1,,0,,4,\n",
			[]string{`column weight:ipoh: value "4": region receives calls from other regions but`},
		},
		"region name":      {strings.ReplaceAll(header, "klang", "Klang") + shifts, []string{`value "Klang": name of a region`, `value "Klang"`, `value "Klang"`}},
		"too many columns": {strings.Repeat("a,", maxColumns) + "b\n" + shifts, []string{`value "325": too many columns; use at most 324`}},
		"too many rows":    {header + shifts + manyRows(MaxRows), []string{`value "10001": too many rows; use at most 10000`}},
		"all at once": {
			header + "Shifts,some,maybe,0,-1,x,1.5,Inf,1e99,-2\n" + shifts,
			[]string{"idempotent", "internal", "deadline_ms", "weight:klang/a", "limit_per_s:klang/a", "weight:klang/b", "limit_per_s:klang/b", "weight:klang:", "limit_per_s:klang:", "column service"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseCSV("table.csv", strings.NewReader(test.csv))
			require.Nil(t, got)
			var faults *Errors
			require.ErrorAs(t, err, &faults)
			require.Len(t, faults.List, len(test.want), "%v", err)
			for i, want := range test.want {
				require.Contains(t, faults.List[i].Error(), want)
				require.Equal(t, "table.csv", faults.List[i].File)
				require.NotEmpty(t, faults.List[i].Remedy)
			}
			var first *Error
			require.True(t, errors.As(err, &first))
		})
	}
}

// Guards against CSV variants of spreadsheets that are rejected or parsed incorrectly.
func TestParseCSVReadsSpreadsheetExports(t *testing.T) {
	plain, err := ParseCSV("", strings.NewReader(header+shifts))
	require.NoError(t, err)
	require.Equal(t, &Table{
		Layout: Layout{DataCentres: []model.Place{{Region: "klang", DataCentre: "a"}, {Region: "klang", DataCentre: "b"}}, Regions: []string{"klang"}},
		Rows: []Row{{
			Service: "shifts", Idempotent: Reads, Deadline: 800 * time.Millisecond,
			DataCentres: []Cell{{3, 1200}, {1, NoLimit}}, Regions: []Cell{{1, NoLimit}},
		}},
	}, plain)
	for name, csv := range map[string]string{
		"byte order mark and CRLF": "\ufeff" + strings.ReplaceAll(header+shifts, "\n", "\r\n"),
		"quoted cells":             header + strings.Replace(shifts, "shifts,reads", `"shifts","reads"`, 1),
		"trailing blank lines":     header + shifts + "\n,,,,,,,,,\n\n",
		"trailing blank columns":   strings.Replace(header, "\n", ",,\n", 1) + strings.Replace(shifts, "\n", ",,\n", 1),
		"semicolons":               strings.ReplaceAll(header+shifts, ",", ";"),
		"no final line end":        strings.TrimSpace(header + shifts),
		"spaces around cells":      strings.ReplaceAll(header+shifts, ",", " , "),
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseCSV("", strings.NewReader(csv))
			require.NoError(t, err)
			require.Equal(t, plain, got)
		})
	}
}

// Guards against a table that changes when it is written and parsed again, and against a Diff that
// misses a change or reports equal rows.
func TestWriteCSVAndDiff(t *testing.T) {
	a, err := ParseCSV("", strings.NewReader(header+shifts+"records,all,yes,50,0,7,2,,0,1\nfiles,none,no,50,1,,2,,0,1\n"))
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, WriteCSV(&out, a))
	b, err := ParseCSV("", &out)
	require.NoError(t, err)
	require.Equal(t, a, b)
	require.Empty(t, Diff(a, b))

	removed := b.Rows[1].Service
	b.Rows = append(b.Rows[:1], b.Rows[2:]...)
	b.Rows[0].DataCentres[1] = Cell{Weight: 77, LimitPerSecond: NoLimit}
	b.Rows[0].Internal = !b.Rows[0].Internal
	changes := Diff(a, b)
	require.Len(t, changes, 2)
	require.Equal(t, Changed, changes[0].Kind)
	require.Contains(t, changes[0].String(), " -> 77")
	require.Contains(t, changes[0].String(), "internal ")
	require.Equal(t, removed, changes[1].Service)
	require.Equal(t, Removed, changes[1].Kind)
	require.Equal(t, Added, Diff(b, a)[1].Kind)
}

// Guards against a retry of a request that must be executed at most once.
func TestMayRepeat(t *testing.T) {
	for idempotent, want := range map[Idempotency][2]bool{None: {false, false}, Reads: {true, false}, All: {true, true}} {
		row := Row{Idempotent: idempotent}
		require.Equal(t, want, [2]bool{row.MayRepeat("GET"), row.MayRepeat("POST")}, idempotent)
	}
}

// Guards against a panic, a table that exceeds its limits and an error without a fault, on any
// input.
func FuzzParseCSV(f *testing.F) {
	f.Add([]byte(header + shifts))
	f.Add([]byte("\ufeff" + strings.ReplaceAll(header+shifts, ",", ";")))
	f.Add([]byte(header + "\"a,b\n" + shifts))
	f.Add([]byte("weight:,limit_per_s:/,weight:a/b/c,service,service\n1,2,3,4,5\n"))
	f.Add([]byte{0xff, 0xfe, 's', 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := ParseCSV("f", bytes.NewReader(data))
		if err != nil {
			var faults *Errors
			require.ErrorAs(t, err, &faults)
			require.NotEmpty(t, faults.List)
			return
		}
		require.NoError(t, parsed.Validate())
		var out bytes.Buffer
		require.NoError(t, WriteCSV(&out, parsed))
		again, err := ParseCSV("f", &out)
		require.NoError(t, err)
		require.Equal(t, parsed, again)
	})
}
