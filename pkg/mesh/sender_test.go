package mesh

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// Simulates a caller that disconnects while the daemon, on a machine without free CPU time, opens a
// connection for the request. Guards against sending the request nevertheless, and against counting
// this as a failure of the other daemon.
func TestRequestOfADisconnectedCallerIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	got := make(chan int, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			got <- -1
			return
		}
		n, _ := c.Read(make([]byte, 1)) // returns when the connection is closed
		got <- n
	}()
	now := time.Now()
	log := newRequestLog(zap.NewNop(), 40)
	fleet := fleetOf(t, 1)
	s := NewSender("10.0.0.9:1", "", NewGuard("10.0.0.9:2", Headers{}, nil, log), fleet, nil, func() []string { return nil })
	s.reach = newReachability(now, "10.0.0.9", 1, s.client, placement.New(fleet.View().Instances[0].Place, placement.DefaultCosts, 1), zap.NewNop())
	s.reach.update(fleet.View())
	inst := &catalog.Instance{}
	inst.ID, inst.ForwardAddr = "i", listener.Addr().String()
	checks := 0
	job := Job{Instance: "i", Method: "GET", Target: "/x", MayRepeat: true, Deadline: now.Add(time.Second), Goal: now.Add(time.Second), Disconnected: func() bool {
		checks++
		return true
	}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res := s.Send(ctx, &job, inst)
	require.Equal(t, 1, checks)
	require.Equal(t, refusal.Cut, res.Refusal.Kind)
	require.Equal(t, refusal.NotRun, res.Refusal.Run)
	require.False(t, res.Unreachable)
	require.Equal(t, placement.Cancelled, outcome(context.Background(), &res))
	require.Zero(t, <-got, "bytes that the other daemon received")
}

// Guards against marking a daemon as unreachable because its response never ends, and against
// reporting the request as not run.
func TestEndlessResponseOfAnotherDaemon(t *testing.T) {
	now := time.Now()
	log := newRequestLog(zap.NewNop(), 40)
	fleet := fleetOf(t, 1)
	s := NewSender("10.0.0.9:1", "", NewGuard("10.0.0.9:2", Headers{}, nil, log), fleet, nil, func() []string { return nil })
	s.client = exchange.NewClient(exchange.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		serveText(far, "HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("x", 4<<10)+"\r\n", 64)
		return near, nil
	}})
	s.reach = newReachability(now, "10.0.0.9", 1, s.client, placement.New(fleet.View().Instances[0].Place, placement.DefaultCosts, 1), zap.NewNop())
	s.reach.update(fleet.View())
	job := Job{Instance: "0", Method: "GET", Target: "/x", Deadline: now.Add(time.Minute), Goal: now.Add(time.Minute)}
	res := s.Send(context.Background(), &job, &fleet.View().Instances[0])
	require.Equal(t, refusal.MayHaveRun, res.Refusal.Run)
	require.Equal(t, refusal.UpstreamFailed, res.Refusal.Kind)
	require.Contains(t, res.Refusal.Remedy, "more than 65536 bytes before the body of the answer")
	require.True(t, res.Arrived)
	require.False(t, res.Unreachable)
	require.Equal(t, placement.Failed, outcome(context.Background(), &res))
}

// Guards against sending a job on an idle connection to a daemon that is shutting down. The daemon
// may be about to close the connection, and the job would then count as one that may have run.
func TestConnectionsToADaemonThatLeavesAreNotUsedAgain(t *testing.T) {
	var mu sync.Mutex
	var from []string
	both := make(chan bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		from = append(from, r.RemoteAddr)
		n := len(from)
		mu.Unlock()
		switch n {
		case 1: // occupies its connection until the second job has opened another
			<-both
		case 2:
			close(both)
		}
		_ = writeResult(w, &Result{Refusal: notRun(map[bool]refusal.Kind{true: refusal.Leaving, false: refusal.Overloaded}[n == 3], "", 0)}, peerInfo{}, 0, time.Time{})
	}))
	defer server.Close()
	now := time.Now()
	log := newRequestLog(zap.NewNop(), 40)
	fleet := fleetOf(t, 1)
	s := NewSender("10.0.0.9:1", "", NewGuard("10.0.0.9:2", Headers{}, nil, log), fleet, nil, func() []string { return nil })
	s.reach = newReachability(now, "10.0.0.9", 1, s.client, placement.New(fleet.View().Instances[0].Place, placement.DefaultCosts, 1), zap.NewNop())
	inst := &catalog.Instance{}
	inst.ID, inst.ForwardAddr = "i", server.Listener.Addr().String()
	send := func() refusal.Kind {
		job := Job{Instance: "i", Method: "GET", Target: "/x", Deadline: now.Add(time.Minute), Goal: now.Add(time.Minute)}
		return s.Send(context.Background(), &job, inst).Refusal.Kind
	}
	var group sync.WaitGroup
	group.Go(func() { send() })
	group.Go(func() { send() })
	group.Wait()
	require.Equal(t, refusal.Leaving, send())
	require.Equal(t, refusal.Overloaded, send())
	require.NotContains(t, from[:3], from[3])
	require.Contains(t, from[:2], from[2])
}
