package mesh_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/pkg/exchange"
	"mangoshed.example/mangoshed/pkg/mesh"
	"mangoshed.example/mangoshed/pkg/mesh/meshtest"
)

// oversizedWatches is a store whose responses to a watch exceed the size limit if there are changes.
type oversizedWatches struct{ *meshtest.Store }

func (s oversizedWatches) Watch(ctx context.Context, after uint64, hold time.Duration, answering func()) (catalog.State, error) {
	state, err := s.Store.Watch(ctx, after, hold, answering)
	if err == nil && state.Revision > after {
		return catalog.State{}, &exchange.Error{Sent: true, Began: true, Err: &exchange.BoundError{Limit: 1, What: "bytes", Remedy: "none"}}
	}
	return state, err
}

// Guards against a daemon that repeats a watch whose response exceeds its limit, and so receives no
// further changes.
func TestTooLargeWatchIsReplacedByAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := oversizedWatches{meshtest.NewStore()}
		store.SetTable(meshtest.Table(1, "back"))
		fleet := mesh.NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
		f := &mesh.Follower{Store: store, Fleet: fleet, Peers: noPeers{}, Log: zap.NewNop()}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(inForce)
		require.Equal(t, uint64(1), version(fleet))
		for v := uint64(2); v < 6; v++ {
			store.SetTable(meshtest.Table(v, "back"))
			time.Sleep(inForce)
			require.Equal(t, v, version(fleet))
		}
	})
}
