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

// Guards against a table that a spreadsheet changes on its way.
func TestCSVRoundTrip(t *testing.T) {
	table, err := ParseCSV(strings.NewReader(sheet))
	require.NoError(t, err)
	require.Equal(t, []Service{{Name: "shifts"}, {Name: "shifts-next"}}, table.Services)
	require.Equal(t, 1200*time.Millisecond, table.Routes[0].Timeout)
	var out strings.Builder
	require.NoError(t, table.WriteCSV(&out))
	require.Equal(t, sheet, out.String())
}

// Guards against faults without a place, and against a first fault that hides the others.
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
	require.Contains(t, err.Error(), "the columns are not those of a route table")
}

// Guards against changes that an operator does not see before publishing.
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

// Guards against a kind that the sheet does not know, and against repeating what may run once only.
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
