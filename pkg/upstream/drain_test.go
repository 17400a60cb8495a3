package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/admission"
	"mangoshed.example/mangoshed/core/membership"
	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
)

// drain drains a guard as its daemon does.
func drain(ctx context.Context, g *Guard) error {
	err := g.Drain(ctx)
	g.HandOver(context.Background())
	return err
}

// Guards against recorded answers that are lost when a request outlasts the drain, against one
// that then ends without a refusal, and against a not-run for it.
func TestRequestOutlastsTheDrain(t *testing.T) {
	for name, keyed := range map[string]bool{"without a key": false, "with a key": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{script: func(conn net.Conn, r *http.Request) {
					if r.ContentLength == int64(len("claim")) {
						say(fine)(conn, r)
						return
					}
					hang(conn, r)
				}}
				mine, other, claim := newPair(t, f, "claim")
				body, refused, err := call(mine, claim())
				require.NoError(t, err)
				require.Nil(t, refused)
				require.Equal(t, "done", body)
				endless := request(context.Background(), "POST", "endless")
				if keyed {
					endless.Header.Set(refusal.HeaderKey, ownKey(mine))
					endless.Header.Set(refusal.HeaderCreated, millis())
				}
				running := make(chan *refusal.Refusal, 1)
				go func() {
					_, refused, _ := call(mine, endless)
					running <- refused
				}()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second) // virtual time
				defer cancel()
				require.Error(t, drain(ctx, mine))
				synctest.Wait()
				select {
				case refused := <-running:
					require.NotNil(t, refused)
					require.Equal(t, refusal.MayHaveRun, refused.Run)
				default:
					require.Fail(t, "the request has not ended")
				}
				other.Update(versions[""], membership.View{Revision: 2, Instances: []model.Instance{other.cfg.Self}})
				body, refused, err = call(other, claim())
				require.NoError(t, err)
				require.Nil(t, refused)
				require.Equal(t, "done", body, "the recorded answer")
			})
		})
	}
}

// Guards against a leaving daemon that reads a body before it refuses the request: a body may
// not arrive for as long as the drain lasts.
func TestLeavingDoesNotReadBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{script: say(fine)}
		g, end := newGuard(t, f, nil)
		defer end()
		require.NoError(t, drain(context.Background(), g))
		for _, method := range []string{"GET", "POST"} {
			unread := request(context.Background(), method, "body")
			unread.Body = io.NopCloser(iotest.ErrReader(errors.New("the body was read")))
			_, refused, _ := call(g, unread)
			require.NotNil(t, refused)
			require.Equal(t, refusal.Leaving, refused.Kind, refused)
			require.Equal(t, refusal.NotRun, refused.Run)
		}
	})
}

// ownKey returns a key that the guard owns.
func ownKey(g *Guard) string {
	for n := 0; ; n++ {
		if key := "own-" + strconv.Itoa(n); g.Owners("shifts", key)[0].ID == g.cfg.Self.ID {
			return key
		}
	}
}

// newPair returns the guard that owns a key, another one of the service, and requests with the key.
func newPair(t *testing.T, f *fake, text string) (owner, other *Guard, claim func() *http.Request) {
	view := membership.View{Revision: 1, Instances: []model.Instance{instance("a"), instance("b")}}
	links := peers{}
	for _, self := range view.Instances {
		g, end := newGuard(t, f, func(c *Config) {
			c.Self, c.Peers, c.Admission = self, links, admission.Config{Ramp: -1}
			c.Fresh = func(context.Context) (membership.View, error) { return view, nil }
		})
		t.Cleanup(end)
		links[self.ID] = g
	}
	for _, g := range links {
		g.Update(versions[""], view)
	}
	time.Sleep(10 * time.Second) // virtual time: both own their keys
	created := millis()
	claim = func() *http.Request {
		r := request(context.Background(), "POST", "", refusal.HeaderKey, "k1", refusal.HeaderCreated, created)
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
		return r
	}
	owners := links["a"].Owners("shifts", "k1")
	return links[owners[0].ID], links[owners[1].ID], claim
}
