package mesh

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// loadAnswer is a response with a load header.
func loadAnswer(load string) *exchange.Response {
	return &exchange.Response{Status: http.StatusOK, Header: http.Header{"Load": {load}}}
}

func newLoadGuard() *Guard {
	return NewGuard("127.0.0.1:1", Headers{Load: "Load"}, nil, newRequestLog(zap.NewNop(), 1))
}

// Guards against a load header with four figures that is ignored whole, so that the slots are not learned
// either.
func TestLoadHeaderWithAPace(t *testing.T) {
	g := newLoadGuard()
	g.hearLoad(time.Now(), "i", loadAnswer("3,0, 18, 250"))
	require.Equal(t, 18, g.Load().Slots)
	require.InDelta(t, 2.5, g.queue.HostPace().Factor, 1e-9)
}

// Guards against a pace that stays in force after its upstream has stopped reporting one.
func TestPaceEndsWithItsLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLoadGuard()
		defer g.timer.Stop()
		require.Equal(t, 100, g.Pace())
		g.hearLoad(time.Now(), "i", loadAnswer("0,0,9,250"))
		require.Equal(t, 250, g.Pace())
		g.hearLoad(time.Now(), "i", loadAnswer("0,0,9"))
		require.Equal(t, 250, g.Pace(), "one response without the figure does not end it")
		time.Sleep(intake.HostPaceLifetime)
		require.Equal(t, 100, g.Pace())
	})
}

// Guards against the pace of a process that has been replaced, which a late response may still carry.
func TestRestartedUpstreamHasNoPace(t *testing.T) {
	g := newLoadGuard()
	g.hearLoad(time.Now(), "i", loadAnswer("0,0,9,250"))
	old := &catalog.Instance{}
	old.ID, old.Incarnation = "i", 1
	next := *old
	next.Incarnation = 2
	g.resetNotices(time.Now(), old, &next)
	require.Zero(t, g.queue.HostPace())
	g.markDeparted("gone", time.Time{})
	g.hearLoad(time.Now(), "gone", loadAnswer("0,0,9,250"))
	misdirected := loadAnswer("0,0,9,250")
	misdirected.Status = http.StatusMisdirectedRequest
	g.hearLoad(time.Now(), "i", misdirected)
	require.Zero(t, g.queue.HostPace())
	g.hearLoad(time.Now(), "i", loadAnswer("0,0,9,70"))
	require.InDelta(t, 0.7, g.queue.HostPace().Factor, 1e-9)
}

// Guards against a result that loses the pace or its age on the way, or sends one that has no weight.
func TestResultCarriesThePaceWithItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heard := time.Now()
		time.Sleep(200 * time.Millisecond)
		answer := &exchange.Response{Status: http.StatusOK, Header: http.Header{}}
		pass := func(pace intake.HostPace) (Result, string) {
			w := httptest.NewRecorder()
			require.NoError(t, writeResult(w, &Result{Response: answer, Arrived: true, Expected: 40 * time.Millisecond, Pace: pace}, peerInfo{}, 0, time.Time{}))
			res, _ := decodeResult(&exchange.Response{Status: w.Code, Header: w.Header()})
			return res, w.Header().Get(headerPace)
		}
		res, _ := pass(intake.HostPace{Factor: 2.5, At: heard})
		require.InDelta(t, 2.5, res.Pace.Factor, 1e-9)
		require.Equal(t, heard, res.Pace.At)
		require.Equal(t, 40*time.Millisecond, res.Expected)
		for _, none := range []intake.HostPace{{}, {Factor: 2.5, At: heard.Add(-intake.HostPaceLifetime)}} {
			res, text := pass(none)
			require.Zero(t, res.Pace)
			require.Empty(t, text)
		}
	})
}
