package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/route"
)

// Guards against a request that uses a table whose instances the placer does not know yet, and
// against a status with a table that reports "not ready".
func TestViewIsVisibleOnlyOnceTheDaemonKnowsIt(t *testing.T) {
	var fleet *Fleet
	learned := 0
	fleet = NewFleet(zap.NewNop(), func(_ time.Time, v *catalog.View) {
		learned++
		require.NotNil(t, v.Table)
		require.Nil(t, fleet.View().Table)
	})
	table, err := route.New(1, nil, nil, route.Limits{})
	require.NoError(t, err)
	fleet.Replace(catalog.State{Revision: 1, Table: table}, "test")
	require.Equal(t, 1, learned)
	require.Same(t, table, fleet.View().Table)
}
