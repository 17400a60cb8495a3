package standin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/platform"
)

// direct calls the handler without a network, so that tests run on virtual time.
type direct struct{ http.Handler }

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	d.ServeHTTP(rec, r)
	return rec.Result(), r.Context().Err()
}

func setUp(t *testing.T, cfg Config) (*Platform, *platform.HTTP) {
	p := New(cfg)
	client, err := platform.NewHTTP(platform.HTTPConfig{BaseURL: "http://platform.test", Transport: direct{p}})
	require.NoError(t, err)
	return p, client
}

func put(t *testing.T, p *Platform, data string) uint64 {
	revision, err := p.Put("manifest", []byte(data))
	require.NoError(t, err)
	return revision
}

func kindOf(err error) platform.Kind {
	var e *platform.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Guards against watches that miss a write, return early or never end.
func TestWatchReturnsOnWriteOrAfterTheHoldTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := setUp(t, Config{})
		start := time.Now()
		_, err := client.Watch(t.Context(), "manifest", 0)
		var same *platform.NotModified
		require.ErrorAs(t, err, &same)
		require.Equal(t, 25*time.Second, time.Since(start))
		done := make(chan platform.Value)
		go func() {
			v, err := client.Watch(t.Context(), "manifest", 0)
			require.NoError(t, err)
			done <- v
		}()
		synctest.Wait()
		require.Equal(t, 1, p.Counts().Waiting)
		revision := put(t, p, "one")
		require.Equal(t, platform.Value{Data: []byte("one"), Revision: revision}, <-done)
		require.Equal(t, 2, p.Counts().Watches)
	})
}

// Guards against faults of the platform that reach the caller without their kind.
func TestFaultsHaveKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := setUp(t, Config{CallsPerSecond: 1, Burst: 8})
		ctx := t.Context()
		read := func() error { _, err := client.Read(ctx, "manifest"); return err }
		require.Equal(t, platform.NotFound, kindOf(read()))
		put(t, p, "one")
		watched := make(chan error)
		go func() {
			_, err := client.Watch(ctx, "manifest", 1)
			watched <- err
		}()
		synctest.Wait()
		p.SetOutage(true)
		require.Equal(t, platform.Unavailable, kindOf(<-watched), "an outage ends waiting watches")
		require.Equal(t, platform.Unavailable, kindOf(read()))
		p.SetOutage(false)
		for range 5 {
			require.NoError(t, read())
		}
		err := read()
		require.Equal(t, platform.RateLimited, kindOf(err))
		require.Contains(t, err.Error(), "repeated after a pause")
		p, client = setUp(t, Config{})
		_, err = p.Put("segments/00", make([]byte, platform.MaxValueBytes+1))
		require.Error(t, err)
		_, err = p.Put("segments/00", make([]byte, platform.MaxValueBytes))
		require.NoError(t, err)
		v, err := client.Read(ctx, "segments/00")
		require.NoError(t, err)
		require.Len(t, v.Data, platform.MaxValueBytes)
	})
}

// Guards against clients that hang on a revision that a restored or stale store lacks.
func TestStaleRollbackAndCrossedUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := setUp(t, Config{})
		first := put(t, p, "one")
		p.SetStale(true)
		second := put(t, p, "two")
		v, err := client.Read(t.Context(), "manifest")
		require.NoError(t, err)
		require.Equal(t, "one", string(v.Data))
		p.SetStale(false)
		p.SetOutOfOrder(true)
		for _, want := range []string{"two", "one", "two"} {
			v, err = client.Read(t.Context(), "manifest")
			require.NoError(t, err)
			require.Equal(t, want, string(v.Data))
		}
		p.SetOutOfOrder(false)
		require.NoError(t, p.Rollback(first))
		start := time.Now()
		_, err = client.Watch(t.Context(), "manifest", second)
		var same *platform.NotModified
		require.ErrorAs(t, err, &same)
		require.Equal(t, first, same.Revision)
		require.Zero(t, time.Since(start))
		require.Equal(t, second, put(t, p, "three"), "revisions are reused")
	})
}

func fleet(n int) []model.Instance {
	out := make([]model.Instance, n)
	for i := range out {
		out[i] = model.Instance{
			ID: model.InstanceID(fmt.Sprintf("service-%03d-%05d", i%530, i)), Service: fmt.Sprintf("service-%03d", i%530),
			Place:       model.Place{Region: fmt.Sprintf("region-%d", i%10), DataCentre: fmt.Sprintf("dc-%02d", i%39)},
			ControlAddr: fmt.Sprintf("10.%d.%d.1:7400", i/256, i%256), ForwardAddr: fmt.Sprintf("10.%d.%d.1:7401", i/256, i%256),
		}
	}
	return out
}

// Guards against lists that lose entries in pages or changes, and against readers that
// receive the whole list of the design size for each change.
func TestListPagesChangesAndLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := setUp(t, Config{})
		all := fleet(19000)
		p.SetInstances(all)
		list, err := client.List(t.Context(), 0, false)
		require.NoError(t, err)
		require.Len(t, list.Instances, len(all))
		full := p.Counts().AnswerBytes
		p.SetListLag(30 * time.Second)
		moved := all[7]
		moved.ControlAddr = "10.200.0.1:7400"
		p.SetInstances(append(append([]model.Instance{moved}, all[:7]...), all[9:]...))
		_, err = client.List(t.Context(), list.Revision, true)
		var same *platform.NotModified
		require.ErrorAs(t, err, &same)
		next, err := client.List(t.Context(), list.Revision, true)
		require.NoError(t, err)
		require.Len(t, next.Instances, len(all)-1)
		require.Contains(t, next.Instances, moved)
		require.NotContains(t, next.Instances, all[8])
		delta := p.Counts().AnswerBytes - full
		t.Logf("list of %d instances: %d bytes; one changed and one removed: %d bytes", len(all), full, delta)
		require.Less(t, delta, int64(1000))
		fresh, err := client.List(t.Context(), 0, false)
		require.NoError(t, err)
		require.Equal(t, fresh, next)
	})
}

// Guards against answers of something else than the platform being taken as data.
func TestMalformedAnswers(t *testing.T) {
	big := make([]byte, platform.MaxValueBytes+1)
	for name, c := range map[string]struct {
		status   int
		revision string
		body     []byte
		want     platform.Kind
	}{
		"no revision": {200, "", []byte("{}"), platform.Malformed},
		"redirect":    {302, "1", nil, platform.Malformed},
		"not json":    {200, "1", []byte("<html>"), platform.Malformed},
		"other":       {200, "1", []byte(`{"revision":2}`), platform.Malformed},
		"twice":       {200, "1", []byte(`{"revision":1,"instances":[{"id":"a","service":"s"},{"id":"a","service":"s"}]}`), platform.Malformed},
		"unasked":     {200, "2", []byte(`{"revision":2,"base":1}`), platform.Malformed},
		"endless":     {200, "1", []byte(`{"revision":1,"next":"x"}`), platform.TooLarge},
		"too large":   {200, "1", big, platform.TooLarge},
		"gateway":     {502, "", nil, platform.Unavailable},
		"moving":      {409, "", nil, platform.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			client, err := platform.NewHTTP(platform.HTTPConfig{BaseURL: "http://x", Transport: direct{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(platform.RevisionHeader, c.revision)
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			})}})
			require.NoError(t, err)
			_, err = client.List(context.Background(), 0, false)
			require.Equal(t, c.want, kindOf(err))
		})
	}
	_, err := platform.NewHTTP(platform.HTTPConfig{BaseURL: "10.0.0.1:80"})
	require.ErrorContains(t, err, "write http://host:port")
}
