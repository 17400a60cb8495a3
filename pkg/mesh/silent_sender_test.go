package mesh

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// jobDeadline is the time to the deadline of the jobs of jobHead.
const jobDeadline = 9 * time.Second

// jobHead returns the head of a job whose body has 9000 bytes, with further header lines.
func jobHead(lines string) string {
	return "POST /x HTTP/1.1\r\nHost: app\r\nContent-Length: 9000\r\n" + headerJob + ": i;read;front;-;1;9000;9000;1000;1;back;\r\n" + lines + "\r\n"
}

// sendJobHead sends the head of a job and, if the sender has to confirm that it may send the body, awaits that.
func sendJobHead(t *testing.T, c *caller, expect bool) {
	if !expect {
		c.write(jobHead(""))
		return
	}
	c.write(jobHead("Expect: 100-continue\r\n"))
	require.Equal(t, http.StatusContinue, c.status())
}

// requireJobNotRun requires the result of a job that has not run and has not reached the upstream.
func requireJobNotRun(t *testing.T, got *responseHead) {
	require.NotNil(t, got, "the connection was cut")
	res, _ := decodeResult(&exchange.Response{Header: got.header})
	require.NotNil(t, res.Refusal)
	require.Equal(t, refusal.NotRun, res.Refusal.Run)
	require.False(t, res.Arrived)
}

// Guards against slots that are held for good by uploads whose connections have fallen silent: a proxy or
// the kernel of the sender still acknowledges everything, so that only a time limit ends the wait.
func TestSlotOfAnUploadThatFallsSilentIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, 6*time.Second)
		d.guard.queue.Resize(time.Now(), 1)
		c := dialPipe(t, d, forwardServer)
		began := time.Now()
		sendJobHead(t, c, true)
		c.write("a part of the body")
		synctest.Wait()
		require.Equal(t, 1, d.Status().Running)
		require.Equal(t, int64(1), d.Status().AwaitingBody)

		// The next job gets the slot at the moment at which the first one loses it.
		var next Result
		var started time.Duration
		var group sync.WaitGroup
		group.Go(func() {
			later := began.Add(time.Minute)
			next = d.guard.Run(context.Background(), &Job{Route: "read", Method: http.MethodGet, Target: "/x", MayWait: true, Deadline: later, Goal: later})
			started = time.Since(began)
		})
		got := c.read()
		requireJobNotRun(t, got)
		require.True(t, got.closes)
		require.LessOrEqual(t, time.Since(began), jobDeadline)
		synctest.Wait()
		require.Zero(t, d.Status().AwaitingBody)
		group.Wait()
		require.NotNil(t, next.Response)
		require.LessOrEqual(t, started, jobDeadline)
		c.end()
		require.Zero(t, d.jobs.Load())
		d.guard.client.Close()
	})
}

// Guards against jobs in flight for good, which a planned stop waits for, after a sender has fallen silent
// that sends the body of a job without waiting for a slot.
func TestJobWhoseSenderFallsSilentEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, 6*time.Second)
		c := dialPipe(t, d, forwardServer)
		began := time.Now()
		sendJobHead(t, c, false)
		c.write("a part of the body")
		synctest.Wait()
		require.Equal(t, int64(1), d.jobs.Load())
		got := c.read()
		requireJobNotRun(t, got)
		require.True(t, got.closes)
		require.LessOrEqual(t, time.Since(began), jobDeadline)
		c.end()
		require.Zero(t, d.jobs.Load())
	})
}

// Guards against cutting an upload that is slow but can still be answered before its deadline.
func TestSlowUploadIsNotCut(t *testing.T) {
	for _, expect := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := virtualDaemon(t, 6*time.Second)
			c := dialPipe(t, d, forwardServer)
			sendJobHead(t, c, expect)
			const pieces = 8
			for n := range pieces {
				c.write(strings.Repeat("x", 9000/pieces))
				if n < pieces-1 {
					time.Sleep(jobDeadline / pieces)
				}
			}
			require.Equal(t, http.StatusOK, c.read().status)
			// The connection serves further jobs, and no time limit of the first one is left on it.
			time.Sleep(2 * jobDeadline)
			sendJobHead(t, c, expect)
			c.write(strings.Repeat("x", 9000))
			require.Equal(t, http.StatusOK, c.read().status)
			c.end()
			d.guard.client.Close()
		})
	}
}

// Guards against connections that stay open after a job was refused before its body: net/http reads the rest
// of a body before it closes a connection, and the sender does not send it.
func TestConnectionOfAJobRefusedBeforeItsBodyIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, 6*time.Second)
		d.guard.Stop()
		c := dialPipe(t, d, forwardServer)
		c.write(jobHead("Expect: 100-continue\r\n"))
		requireJobNotRun(t, c.read())
		began := time.Now()
		_, err := c.in.ReadByte()
		require.Error(t, err)
		require.Zero(t, time.Since(began))
		c.end()
	})
}

// Guards against announcements of other daemons that are read without end.
func TestAnnouncementThatStallsEnds(t *testing.T) {
	for _, target := range []string{endsPath + "?in=100", suspectsPath, statePath + "?newer=0"} {
		synctest.Test(t, func(t *testing.T) {
			d := virtualDaemon(t, 6*time.Second)
			c := dialPipe(t, d, forwardServer)
			began := time.Now()
			c.write("POST " + target + " HTTP/1.1\r\nHost: app\r\nContent-Length: 100\r\n\r\nx")
			got := c.read()
			require.NotNil(t, got)
			require.True(t, got.closes)
			require.LessOrEqual(t, time.Since(began), unreadBodyTimeout)
			c.end()
		})
	}
}

// Guards against a caller that stops sending in the middle of a body and holds the request, its memory and a
// planned stop for good.
func TestRequestWhoseCallerFallsSilentIsAnswered(t *testing.T) {
	for _, length := range []string{"Content-Length: 9000", "Transfer-Encoding: chunked"} {
		for _, remaining := range []time.Duration{400 * time.Millisecond, time.Minute} {
			synctest.Test(t, func(t *testing.T) {
				d := virtualDaemon(t, 6*time.Second)
				d.fleet.view.Store(oneRoute(t, time.Second))
				c := dialPipe(t, d, callerServer)
				began := time.Now()
				c.write("POST /x HTTP/1.1\r\nHost: app\r\nLeft: " + formatMillis(remaining) + "\r\n" + length + "\r\n\r\n1\r\nx\r\n")
				synctest.Wait()
				require.Equal(t, int64(1), d.ingress.active.Load())
				got := c.read()
				require.NotNil(t, got, "the connection was cut")
				require.Equal(t, http.StatusRequestTimeout, got.status)
				require.Equal(t, refusal.NotRun.String(), got.header.Get(refusal.HeaderRun))
				require.True(t, got.closes)
				require.Less(t, time.Since(began), min(remaining, time.Second))
				c.end()
				require.Zero(t, d.ingress.active.Load())
			})
		}
	}
}

// Guards against a refusal that waits for the body of the refused request without end: net/http reads the rest
// of a body before it sends the response.
func TestRefusalDoesNotWaitForABodyThatStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, 6*time.Second)
		d.fleet.view.Store(oneRoute(t, time.Second))
		c := dialPipe(t, d, callerServer)
		began := time.Now()
		c.write("POST /x HTTP/1.1\r\nHost: unknown\r\nContent-Length: 9000\r\n\r\nx")
		got := c.read()
		require.NotNil(t, got)
		require.Equal(t, http.StatusNotFound, got.status)
		require.True(t, got.closes)
		require.LessOrEqual(t, time.Since(began), unreadBodyTimeout)
		c.end()
	})
}

// Guards against cutting the body of a caller that is slow but in time, and against a time limit that stays on
// the connection while the request runs.
func TestSlowBodyOfACallerIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, 6*time.Second)
		d.fleet.view.Store(oneRoute(t, time.Second))
		c := dialPipe(t, d, callerServer)
		for range 2 {
			c.write("POST /x HTTP/1.1\r\nHost: app\r\nContent-Length: 9\r\n\r\n")
			for range 9 {
				time.Sleep(100 * time.Millisecond)
				c.write("x")
			}
			got := c.read()
			require.Equal(t, http.StatusServiceUnavailable, got.status, "there is no instance")
			require.False(t, got.closes)
			time.Sleep(2 * time.Second)
		}
		c.end()
	})
}

// localRoute gives the daemon a route to its own upstream, with a timeout of 1 s.
func localRoute(t *testing.T, d *Daemon) {
	view := oneRoute(t, time.Second)
	inst := &catalog.Instance{Upstream: d.settings.Upstream.Address, Slots: 4}
	inst.ID, inst.Service, inst.ForwardAddr, inst.Place = "i", "back", d.settings.Listen.ForwardAddress, d.settings.Place()
	d.fleet.Replace(catalog.State{Revision: 1, Table: view.Table, Entries: []catalog.Entry{{ID: inst.ID, Instance: inst, Revision: 1}}}, "test")
}

// Guards against responses that are held for good for receivers that stop reading: the memory of the body, and a
// request or job in flight, which a planned stop waits for.
func TestResponseThatIsNotReadIsDropped(t *testing.T) {
	for name, test := range map[string]struct {
		server int
		head   string
		within time.Duration
	}{
		"caller":                   {callerServer, "GET /x HTTP/1.1\r\nHost: app\r\nLeft: 3000\r\n\r\n", 3*time.Second + lateResponseTime},
		"caller without a timeout": {callerServer, "GET /x HTTP/1.1\r\nHost: app\r\n\r\n", responseStallTimeout},
		"daemon":                   {forwardServer, "GET /x HTTP/1.1\r\nHost: app\r\n" + headerJob + ": i;read;front;-;1;3000;3000;1000;1;back;\r\n\r\n", 3*time.Second + lateResponseTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := virtualDaemon(t, 6*time.Second)
				answerWith(d, strings.Repeat("x", 1<<20))
				localRoute(t, d)
				c := dialPipe(t, d, test.server)
				c.write(test.head)
				synctest.Wait()
				require.True(t, d.busy())
				require.Equal(t, int64(1<<20), d.Status().AnswerBytes)
				time.Sleep(test.within)
				synctest.Wait()
				require.False(t, d.busy())
				require.Zero(t, d.Status().AnswerBytes)
				_, err := io.Copy(io.Discard, c.in)
				require.NoError(t, err, "the connection is closed")
				c.end()
				d.guard.client.Close()
			})
		})
	}
}

// Guards against cutting a response that its receiver reads slowly, but within its timeout.
func TestResponseThatIsReadSlowlyIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := virtualDaemon(t, 6*time.Second)
		answerWith(d, strings.Repeat("x", 1<<20))
		localRoute(t, d)
		c := dialPipe(t, d, callerServer)
		for range 2 {
			c.write("GET /x HTTP/1.1\r\nHost: app\r\nLeft: 60000\r\n\r\n")
			resp, err := http.ReadResponse(c.in, nil)
			require.NoError(t, err)
			n := int64(0)
			for err == nil {
				time.Sleep(2 * time.Second)
				var more int64
				more, err = io.CopyN(io.Discard, resp.Body, 64<<10)
				n += more
			}
			require.ErrorIs(t, err, io.EOF)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, int64(1<<20), n)
		}
		c.end()
		d.guard.client.Close()
	})
}
