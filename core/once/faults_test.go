package once

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
)

// Guards invariant I6 (a key runs at most once) when the owner restarts, pauses or leaves between two
// requests with the same key. No instance may run the second request, and the owner's decision must
// be the one that describes the first run correctly.
func TestOwnerFaultsBetweenTwoSends(t *testing.T) {
	type scenario struct {
		cores  map[model.InstanceID]*Core
		settle func(now time.Time, fresh ...model.InstanceID)
		owner  model.InstanceID
		now    time.Time
	}
	restart := func(s *scenario) {
		self := s.cores[s.owner].cfg.Self
		self.Incarnation++
		s.cores[s.owner] = New(Config{Self: self}, s.now)
	}
	for _, c := range []struct {
		name      string
		inject    func(s *scenario)
		want      Decision // of the owner for the second request
		wantLater Decision // of the owner for a new key, 10 s later
	}{
		{"nothing", func(*scenario) {}, Duplicate, Run},
		{"restart", func(s *scenario) { restart(s); s.settle(s.now, s.owner) }, Unknown, Run},
		{"restart without a list", restart, NotOwner, NotOwner},
		{"restart twice", func(s *scenario) { restart(s); restart(s); s.settle(s.now, s.owner) }, Unknown, Run},
		{"pause", func(s *scenario) { s.now = s.now.Add(PauseGap + time.Millisecond) }, Duplicate, Run},
		{"planned stop", func(s *scenario) { s.cores[s.owner].Leave(s.now) }, Duplicate, LeavingOwner},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &scenario{now: startTime.Add(10 * time.Second)}
			s.cores, s.settle, _, _ = fleet(3)
			ids := []model.InstanceID{"i00", "i01", "i02"}
			s.settle(startTime, ids...)
			tick := func() {
				for _, id := range ids {
					s.cores[id].Tick(s.now)
					s.cores[id].ViewChecked(s.now)
				}
			}
			tick()
			decide := func(id model.InstanceID, key Key) Decision {
				decision, _ := s.cores[id].Begin(s.now, key)
				return decision
			}
			keyOwnedBy := func(id model.InstanceID, created time.Time) Key {
				for n := 'a'; ; n++ {
					key := NewKey("s", string(n)+created.String(), created.UnixMilli())
					if owner := Order(key, []model.Instance{{ID: ids[0]}, {ID: ids[1]}, {ID: ids[2]}})[0]; owner.ID == id {
						return key
					}
				}
			}
			s.owner = ids[1]
			key := keyOwnedBy(s.owner, s.now)
			require.Equal(t, Run, decide(s.owner, key))
			c.inject(s)
			for _, id := range ids {
				decision := decide(id, key)
				require.NotEqual(t, Run, decision, "I6: %s", id)
				if id == s.owner {
					require.Equal(t, c.want, decision)
				}
			}
			s.now = s.now.Add(10 * time.Second)
			require.NotEqual(t, Run, decide(s.owner, keyOwnedBy(s.owner, s.now)), "I6: a paused owner must not run a new key")
			tick()
			require.Equal(t, c.wantLater, decide(s.owner, keyOwnedBy(s.owner, s.now)))
			require.NotEqual(t, Run, decide(s.owner, key), "I6")
		})
	}
}
