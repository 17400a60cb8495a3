package route

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a figure for cold upstreams that no upstream can have, also from another daemon, whose
// encoding has numbers that JSON lacks.
func TestColdFiguresOfAService(t *testing.T) {
	for _, s := range []Service{
		{Name: "s", ColdPerSecond: math.NaN()},
		{Name: "s", ColdPerSecond: math.Inf(1)},
		{Name: "s", ColdPerSecond: -1},
		{Name: "s", ColdStart: -time.Second},
		{Name: "s", ColdStart: MaxColdStart + 1},
	} {
		_, err := New(1, nil, []Service{s}, Limits{})
		require.ErrorContains(t, err, "out of range")
	}
	_, err := New(1, nil, []Service{{Name: "s", ColdPerSecond: 14, ColdStart: 3 * time.Second}}, Limits{})
	require.NoError(t, err)
}
