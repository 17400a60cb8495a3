package bootstrap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a fleet that reads the store once for each daemon while the seeds wait for the first
// table, and against a daemon that waits for seeds which cannot read the store.
func TestReadsTheStoreOnlyIfNobodyElseWill(t *testing.T) {
	s := Start{Began: at(0), Delay: 300 * time.Millisecond}
	require.False(t, s.MayRead(at(299), time.Time{}))
	require.True(t, s.MayRead(at(300), time.Time{}), "no other daemon is up")
	require.False(t, s.MayRead(at(300), at(150)))
	require.True(t, s.MayRead(at(350), at(150)), "the others do not respond any more")
	require.False(t, s.MayRead(at(1299), at(1290)))
	require.True(t, s.MayRead(at(1300), at(1290)), "the others do not get the state")
}
