package mesh

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

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
	require.NoError(t, writeResult(w, &Result{Response: answer, Arrived: true}, peerInfo{revision: 3}, 0, time.Time{}))
	res, from := decodeResult(&exchange.Response{Status: w.Code, Header: w.Header()})
	require.Nil(t, res.Refusal)
	require.True(t, res.Arrived)
	require.Equal(t, uint64(3), from.revision)
	require.Equal(t, "kept", res.Response.Header.Get("X-Own"))
}

// Guards against figures of an upstream or another daemon that can be read and are absurd: with so many
// slots the queue never holds a request back, and such times overflow.
func TestAbsurdFiguresAreIgnored(t *testing.T) {
	g := NewGuard("127.0.0.1:1", Headers{Load: "Load"}, nil, newRequestLog(zap.NewNop(), 1))
	slots := g.Load().Slots
	hear := func(text string) {
		g.hearLoad(time.Now(), "i", &exchange.Response{Status: http.StatusOK, Header: http.Header{"Load": {text}}})
	}
	for _, text := range []string{"0,0,1000000000", "0,0,99999999999999999999", "0,0,-1", "0,0,0", "0,0", "0,0,x,100"} {
		hear(text)
		require.Equal(t, slots, g.Load().Slots, text)
	}
	hear("0,0, 12")
	require.Equal(t, 12, g.Load().Slots)
	require.InDelta(t, 1.0, g.queue.HostPace().Factor, 1e-9, "the pace beside slots that are not usable")
	g.queue.ResetHostPace()
	for _, text := range []string{"0,0,12,-5", "0,0,12,0", "0,0,12,10001", "0,0,12,fast", "0,0,12,", "0,0,12,99999999999999999999"} {
		hear(text)
		require.Zero(t, g.queue.HostPace(), text)
	}
	hear("0,0,9,")
	require.Equal(t, 9, g.Load().Slots, "the rest of the header is used")
	for _, text := range []string{"250", "250;", "250;x", "-250;1", "0;1", "10001;1", "250;-1", "x;1", "", "250;1;2"} {
		require.Zero(t, decodePace(time.Now(), text), text)
	}
	for _, text := range []string{"1/9/0/0/9223372036854775807", "1/9/0/-1/0", "1/99999999999/0/0/0", "1/9/0/0"} {
		require.Zero(t, decodeLoad(text), text)
	}
	res, _ := decodeResult(&exchange.Response{Header: http.Header{headerResult: {"1/9/0/0/0;1;1;9223372036854775807;;;;;0"}}})
	require.Zero(t, res.Run)
	require.Equal(t, 9, res.Load.Slots)
	for _, text := range []string{"NaN", "Inf;leaving", "-1", "1e9999", "x;leaving", ""} {
		limit, leaving, cold := decodeNotices(text)
		require.Zero(t, limit, text)
		require.False(t, leaving, text)
		require.False(t, cold, text)
	}
}
