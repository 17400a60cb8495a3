package mesh

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a job that waits at another daemon and is missing from the announcement of its
// sender's end, because another job with the same ID, or also without one, has had its response.
func TestJobsWithEqualIDsAreAllAnnounced(t *testing.T) {
	s := NewSender("own", "", nil, nil, nil, nil)
	s.addWaiting("other", "")
	s.addWaiting("other", "")
	s.removeWaiting("other", "")
	require.Equal(t, map[string][]string{"other": {""}}, s.waitingByAddress())
	s.removeWaiting("other", "")
	require.Empty(t, s.waitingByAddress())
}
