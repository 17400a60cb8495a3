package mesh

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mangoshed.example/mangoshed/core/catalog"
)

// Guards against a new process that gets more than the bound because the requests that it got before its entry
// arrived are taken for those of the process before.
func TestRequestsBeforeTheEntryCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(0, false)
		g := startColdGuard(t, u)
		view := func(incarnation uint64, warm time.Duration) *catalog.View {
			return coldView(t, 14, func(i *catalog.Instance) { i.Incarnation, i.Warm, i.Slots = incarnation, warm, 20 })
		}
		g.Update(time.Now(), view(1, 0))
		var group sync.WaitGroup
		press := func(span time.Duration) {
			for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(16 * time.Millisecond) {
				group.Go(func() {
					j := coldJob(fmt.Sprint(time.Now().UnixNano()))
					j.MayWait = true
					g.Run(t.Context(), j)
				})
			}
		}
		press(3 * time.Second)
		for n := u.healthRequests(); u.healthRequests() == n; {
			press(16 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		u.crash() // nothing is running, so that the daemon does not notice it
		u.start(3*time.Second, false)
		press(400 * time.Millisecond)
		g.Update(time.Now(), view(2, 2600*time.Millisecond))
		press(1500 * time.Millisecond)
		group.Wait()
		requireColdBound(t, u.requests())
	})
}
