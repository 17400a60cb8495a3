package mesh

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// Guards against flags that are lost when a job is encoded and decoded.
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

// Guards against an upstream that sets the result header on its response and so passes it off as a
// refusal by its daemon: the caller would be told that the request has not run, although it has.
func TestResponseCannotPassForARefusal(t *testing.T) {
	answer := &exchange.Response{Status: http.StatusOK, Body: []byte("done"), Header: http.Header{
		headerResult: {joinFields("0/1/0/0/0", "9", "", "0", string(refusal.Overloaded), notRunMark, "0", "", "0")}, "X-Own": {"kept"},
	}}
	w := httptest.NewRecorder()
	writeResult(w, &Result{Response: answer, Arrived: true}, peerInfo{revision: 3}, 0)
	res, from := decodeResult(&exchange.Response{Status: w.Code, Header: w.Header()})
	require.Nil(t, res.Refusal)
	require.True(t, res.Arrived)
	require.Equal(t, uint64(3), from.revision)
	require.Equal(t, "kept", res.Response.Header.Get("X-Own"))
}
