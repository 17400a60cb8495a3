package audit

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/telemetry"
)

// Guards against a trail that exceeds its capacity, returns entries out of order, or records
// an entry without logging it.
func TestTrailKeepsTheNewestEntries(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "info")
	require.NoError(t, err)
	trail := NewTrail(log, 3)
	require.Empty(t, trail.Entries(0))
	for v := model.Version(1); v <= 8; v++ {
		trail.Record(Entry{Kind: Applied, Version: v, Rows: []string{"changed shifts"}})
		got := trail.Entries(0)
		require.Len(t, got, min(int(v), 3))
		for i, e := range got {
			require.Equal(t, v-model.Version(i), e.Version)
		}
	}
	require.Equal(t, uint64(8), trail.Count(Applied))
	require.Len(t, trail.Entries(2), 2)
	require.Equal(t, 8, strings.Count(out.String(), "event=version_applied"))
	require.Equal(t, 8, strings.Count(out.String(), "\n"))
}

// Guards against a JSON form from which clients of the admin server decode a different entry.
func TestEntryJSONRoundTrip(t *testing.T) {
	e := Entry{
		Time: time.UnixMilli(1700000000123).UTC(), Kind: Rejected, Version: 7, Digest: model.Digest{1, 2},
		Source: "store", Reason: "signature", Rows: []string{"a"}, Age: 1500 * time.Millisecond,
	}
	data, err := json.Marshal(e)
	require.NoError(t, err)
	require.Contains(t, string(data), `"digest":"0102`)
	var back Entry
	require.NoError(t, json.Unmarshal(data, &back))
	require.Equal(t, e, back)
	require.Error(t, json.Unmarshal([]byte(`{"digest":"01"}`), &back))
}
