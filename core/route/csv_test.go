package route

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sheet = `route,host,prefix,kind,timeout_ms,goal_ms,priority,max_attempts,services
claim,shifts.example,/claims/,unsafe,1200,300,1,2,shifts:1
view,shifts.example,/shifts/,safe,1000,250,2,2,shifts:90 shifts-next:10
`

// Guards against routes that differ after they are written as CSV and parsed again.
func TestCSVRoundTrip(t *testing.T) {
	table, err := ParseCSV(strings.NewReader(sheet))
	require.NoError(t, err)
	require.Equal(t, []Service{{Name: "shifts"}, {Name: "shifts-next"}}, table.Services)
	require.Equal(t, 1200*time.Millisecond, table.Routes[0].Timeout)
	var out strings.Builder
	require.NoError(t, table.WriteCSV(&out))
	require.Equal(t, sheet, out.String())
}

// Guards against faults without a line and column, and against a parser that stops at the first
// fault.
func TestCSVFaults(t *testing.T) {
	text := strings.NewReplacer("unsafe", "sometimes", "1200", "soon", "shifts:90", "shifts=90").Replace(sheet)
	_, err := ParseCSV(strings.NewReader(text))
	var faults *Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults.List, 3)
	require.Contains(t, err.Error(), `route claim: column kind: value "sometimes": unknown kind; use safe, unsafe, upload or download`)
	require.Contains(t, err.Error(), `route claim: column timeout_ms: value "soon"`)
	require.Contains(t, err.Error(), `route view: column services: value "shifts=90"`)
	_, err = ParseCSV(strings.NewReader("route,host\n"))
	require.ErrorAs(t, err, &faults)
	require.Contains(t, err.Error(), "the header does not have the columns of a route table")
}

// Guards against a change that is missing from the preview that an operator checks before
// publishing.
func TestChanges(t *testing.T) {
	from, err := ParseCSV(strings.NewReader(sheet))
	require.NoError(t, err)
	to, err := ParseCSV(strings.NewReader(strings.NewReplacer("shifts:90 shifts-next:10", "shifts:50 shifts-next:50", "/claims/", "/claim/").Replace(sheet)))
	require.NoError(t, err)
	require.Equal(t, []string{
		"added claim: shifts.example/claim/",
		"changed view: services shifts:90 shifts-next:10 -> shifts:50 shifts-next:50",
		"removed claim: shifts.example/claims/",
	}, Changes(from, to))
	require.Empty(t, Changes(from, from))
}

// Guards against a kind that the CSV format does not support, and against retries of requests
// that must be executed at most once.
func TestKinds(t *testing.T) {
	for kind, repeat := range map[Kind]bool{Unsafe: false, Safe: true, Upload: false, Download: true} {
		text := strings.Replace(sheet, ",unsafe,", ","+kind.String()+",", 1)
		table, err := ParseCSV(strings.NewReader(text))
		require.NoError(t, err)
		require.Equal(t, kind, table.Routes[0].Kind)
		require.Equal(t, repeat, kind.MayRepeat(), kind)
		var out strings.Builder
		require.NoError(t, table.WriteCSV(&out))
		require.Equal(t, text, out.String())
	}
}
