package mesh

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/intake"
)

// patientJob returns a job that may wait for a slot for 20 seconds.
func patientJob(id string) *Job {
	j := coldJob(id)
	j.MayWait, j.Deadline = true, time.Now().Add(20*time.Second)
	j.Goal = j.Deadline
	return j
}

// Guards against a timer that is not set when a cancelled call gives back the slot that it had just got, so
// that the next call waits longer than the rate of the cold upstream requires.
func TestTimerIsSetAfterACancelledCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.start(time.Hour, false)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, func(i *catalog.Instance) { i.Slots = 1 }))
		time.Sleep(1500 * time.Millisecond)
		now := time.Now()
		g.mu.Lock()
		decided := make(chan intake.Verdict, 1)
		started := &intake.Call{Route: "q", Goal: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
		require.Equal(t, intake.Started, g.queue.Offer(now, started, true))
		decided <- intake.Started
		for g.queue.Charge(now) {
		}
		g.mu.Unlock()
		done := make(chan time.Duration, 1)
		go func() {
			g.Run(context.Background(), patientJob("w"))
			done <- time.Since(now)
		}()
		synctest.Wait()
		g.cancel(started, decided)
		require.Less(t, <-done, 150*time.Millisecond, "one token and the run")
	})
}

// Guards against a timer that is not set when an update of the view adds slots.
func TestTimerIsSetAfterAddedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newPipeUpstream()
		u.work = 900 * time.Millisecond
		u.start(time.Hour, false)
		g := startColdGuard(t, u)
		g.Update(time.Now(), coldView(t, 14, func(i *catalog.Instance) { i.Slots = 1 }))
		time.Sleep(1200 * time.Millisecond)
		began := time.Now()
		var group sync.WaitGroup
		for n := range 8 {
			group.Go(func() { g.Run(context.Background(), patientJob(fmt.Sprint(n))) })
		}
		synctest.Wait()
		g.Update(time.Now(), coldView(t, 14, func(i *catalog.Instance) { i.Slots = 20 }))
		group.Wait()
		require.Less(t, time.Since(began), 1300*time.Millisecond, "the rate allows all within 300 ms")
	})
}
