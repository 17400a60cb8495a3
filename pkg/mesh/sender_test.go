package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/placement"
	"mangoshed.example/mangoshed/core/refusal"
)

// Replays a caller that leaves while the daemon, on a machine without processor time, opens a
// connection for its request. Guards against sending the request all the same, and against
// holding that against the other daemon.
func TestRequestOfACallerThatHasLeftIsNotSent(t *testing.T) {
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
		n, _ := c.Read(make([]byte, 1)) // ends with the connection
		got <- n
	}()
	now := time.Now()
	log := newDecisions(zap.NewNop(), 40)
	fleet := fleetOf(t, 1)
	s := NewSender("10.0.0.9:1", NewGuard("10.0.0.9:2", Headers{}, nil, log), fleet, nil, func() []string { return nil })
	s.reach = newReachability(now, "10.0.0.9", 1, s.client, placement.New(fleet.View().Instances[0].Place, placement.DefaultCosts, 1), zap.NewNop())
	s.reach.update(fleet.View())
	inst := &catalog.Instance{}
	inst.ID, inst.ForwardAddr = "i", listener.Addr().String()
	looks := 0
	job := Job{Instance: "i", Method: "GET", Target: "/x", MayRepeat: true, Deadline: now.Add(time.Second), Goal: now.Add(time.Second), Left: func() bool {
		looks++
		return true
	}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res := s.Send(ctx, &job, inst)
	require.Equal(t, 1, looks)
	require.Equal(t, refusal.Cut, res.Refusal.Kind)
	require.Equal(t, refusal.NotRun, res.Refusal.Run)
	require.False(t, res.Unreachable)
	require.Equal(t, placement.Cancelled, outcome(context.Background(), &res))
	require.Zero(t, <-got, "bytes that reached the other daemon")
}
