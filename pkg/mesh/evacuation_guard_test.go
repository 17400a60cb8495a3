package mesh

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// viewEvacuating returns a view without a table in which data centres are evacuated.
func viewEvacuating(revision uint64, dataCentres ...string) *catalog.View {
	c := catalog.New()
	s := catalog.State{Revision: revision}
	for _, name := range dataCentres {
		s.Evacuations = append(s.Evacuations, catalog.Evacuation{DataCentre: name, Revision: revision})
	}
	c.Apply(time.Now(), s)
	return c.View()
}

// evacuableDaemon is a daemon in klang-a whose upstream has one slot and answers after a second.
func evacuableDaemon(t *testing.T) (*Daemon, *atomic.Int64) {
	d := virtualDaemon(t, 6*time.Second)
	d.guard.queue.Resize(time.Now(), 1)
	seen := &atomic.Int64{}
	d.guard.client = exchange.NewClient(exchange.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			seen.Add(1)
			time.Sleep(time.Second)
			_, _ = fmt.Fprint(far, "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
		}()
		return near, nil
	}})
	return d, seen
}

// runJob runs a job at the guard and returns its result.
func runJob(d *Daemon, id string) <-chan Result {
	result := make(chan Result, 1)
	later := time.Now().Add(time.Minute)
	go func() {
		result <- d.guard.Run(context.Background(), &Job{Route: "read", Method: http.MethodGet, Target: "/x", ID: id, MayWait: true, Deadline: later, Goal: later})
	}()
	synctest.Wait()
	return result
}

// requireEvacuated requires a refusal because of an evacuation, which passes to the sender's daemon.
func requireEvacuated(t *testing.T, res Result) {
	t.Helper()
	recorder := httptest.NewRecorder()
	require.NoError(t, writeResult(recorder, &res, peerInfo{}, 0, time.Time{}))
	res, _ = decodeResult(&exchange.Response{Header: recorder.Header()})
	require.True(t, res.Evacuated)
	require.NotNil(t, res.Refusal)
	require.Equal(t, refusal.Leaving, res.Refusal.Kind)
	require.Equal(t, refusal.NotRun, res.Refusal.Run)
	require.False(t, res.Arrived)
}

// Guards against a job that is sent to an upstream after the evacuation of its data centre has begun, whether it waits
// or is new, against a running one that is cut, and against a guard that stays closed, or opens while it is stopping.
// The views have no table: an evacuation holds for a daemon that has none yet.
func TestGuardRefusesJobsDuringAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, seen := evacuableDaemon(t)
		running, waiting := runJob(d, "1"), runJob(d, "2")
		require.Equal(t, 1, d.Status().Queued)
		d.applyView(time.Now(), viewEvacuating(2, "klang-b", "elsewhere"))
		require.Equal(t, 1, d.Status().Queued, "another data centre")
		began := time.Now()
		d.applyView(began, viewEvacuating(3, "klang-a"))
		requireEvacuated(t, <-waiting)
		requireEvacuated(t, <-runJob(d, "3"))
		require.Equal(t, began, time.Now(), "refused at once")
		require.NotNil(t, (<-running).Response)
		requireEvacuated(t, <-runJob(d, "4"))
		require.Equal(t, int64(1), seen.Load())

		d.applyView(time.Now(), viewEvacuating(4))
		require.NotNil(t, (<-runJob(d, "5")).Response)
		d.applyView(time.Now(), viewEvacuating(5, "klang-a"))
		d.guard.Stop()
		d.applyView(time.Now(), viewEvacuating(6))
		require.Equal(t, intake.Closed, d.guard.queue.Offer(time.Now(), &intake.Call{}, true))
		require.Equal(t, int64(2), seen.Load())
	})
}

// Guards against a job that holds a slot while its body arrives, and is sent to the upstream long after the evacuation
// has begun.
func TestBodyThatArrivesDuringAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, seen := evacuableDaemon(t)
		c := dialPipe(t, d, forwardServer)
		sendJobHead(t, c, true)
		d.applyView(time.Now(), viewEvacuating(2, "klang-a"))
		c.write(strings.Repeat("x", 9000))
		requireJobNotRun(t, c.read())
		require.Zero(t, seen.Load())
		require.Zero(t, d.Status().Running)
		c.end()
	})
}
