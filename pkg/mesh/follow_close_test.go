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

// lingering are peers that take a moment to end a call that was cancelled.
type lingering struct{ calls atomic.Int64 }

func (p *lingering) AskState(ctx context.Context, _ uint64) (catalog.State, string, error) {
	p.calls.Add(1)
	defer p.calls.Add(-1)
	<-ctx.Done()
	time.Sleep(time.Millisecond) // virtual time
	return catalog.State{}, "", ctx.Err()
}

func (*lingering) Introduce([]string) {}

// Guards against calls of a daemon that go on, and read its settings, after it has been closed.
func TestCallsOfTheStartEndWithTheFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := meshtest.NewStore()
		store.SetDown(true)
		peers := &lingering{}
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
		time.Sleep(time.Second) // virtual time: lets calls end that should have ended before
		require.Zero(t, running)
	})
}
