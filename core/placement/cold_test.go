package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is sent to one instance after the other although none of them takes it, and
// against instances that are left out for longer than their last report tells.
func TestInstancesWithoutAllowanceAreLeftOut(t *testing.T) {
	p := placer(view(home, home, next))
	q := query()
	for range 3 {
		c := choose(t, p, now, q)
		p.Done(now, c, "r", Report{Outcome: Refused, Load: limited(), Limit: 20})
		q.Exclude = append(q.Exclude, c.Instance.ID)
	}
	needs := query()
	needs.NeedsAllowance = true
	c, ok := p.Choose(now, needs)
	require.False(t, ok)
	require.Nil(t, c.Instance)
	choose(t, p, now, query())
	_, ok = p.Choose(now.Add(1100*time.Millisecond), needs)
	require.True(t, ok, "their rate allows requests again")
}
