package mesh

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that loses what its sender said about it on the way.
func TestJobKeepsItsFlags(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, job := range []Job{{}, {Repeated: true}, {Returning: true, MayWait: true}, {MayRepeat: true, Nested: true, Repeated: true}} {
		job.Instance, job.Deadline, job.Goal = "i", now.Add(time.Second), now.Add(time.Second)
		r := &http.Request{Header: job.encode(now, "127.0.0.1:1", 0, "").Header}
		got, _, ok := decodeJob(r, now)
		require.True(t, ok)
		require.Equal(t, job.flags(), got.flags())
	}
}
