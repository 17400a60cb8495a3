package mesh_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/pkg/mesh"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// slowPeers implements mesh.Peers. Its calls return with a delay after they were cancelled.
type slowPeers struct{ calls atomic.Int64 }

func (p *slowPeers) AskState(ctx context.Context, _ uint64) (mesh.PeerState, error) {
	p.calls.Add(1)
	defer p.calls.Add(-1)
	<-ctx.Done()
	time.Sleep(time.Millisecond) // virtual time
	return mesh.PeerState{}, ctx.Err()
}

func (*slowPeers) Introduce([]string) {}

func (*slowPeers) AnnounceState(context.Context) {}

// Guards against calls to peers that outlive the follower and read the daemon's settings after the
// daemon has been closed.
func TestStateRequestsEndWithTheFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := meshtest.NewStore()
		store.SetDown(true)
		peers := &slowPeers{}
		fleet := mesh.NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
		f := &mesh.Follower{Store: store, Fleet: fleet, Peers: peers, Log: zap.NewNop(), Seed: true}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		synctest.Wait()
		cancel()
		<-done
		running := peers.calls.Load()
		synctest.Wait()
		time.Sleep(time.Second) // virtual time: lets any remaining calls return before the test ends
		require.Zero(t, running)
	})
}
