package mesh

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
)

// stateDaemon is a daemon that serves its state only.
type stateDaemon struct {
	*Sender
	address string
	served  int // responses with a state
}

// newStateDaemon returns a daemon of a region. It holds a state if view is set.
func newStateDaemon(t *testing.T, region string, view *catalog.View, seeds ...string) *stateDaemon {
	d := &stateDaemon{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		d.serveState(recorder, r)
		if recorder.Code == http.StatusOK {
			d.served++
		}
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	d.address = strings.TrimPrefix(server.URL, "http://")
	fleet := NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
	d.Sender = NewSender(d.address, region, NewGuard("10.0.0.9:2", Headers{}, nil, newRequestLog(zap.NewNop(), 40)), fleet, nil, func() []string { return seeds })
	if view != nil {
		d.hold(view)
	}
	return d
}

// hold makes the daemon hold a state.
func (d *stateDaemon) hold(view *catalog.View) {
	state := catalog.State{Revision: view.Revision, Table: view.Table}
	for i := range view.Instances {
		state.Entries = append(state.Entries, catalog.Entry{ID: view.Instances[i].ID, Instance: &view.Instances[i], Revision: view.Revision})
	}
	d.fleet.Replace(state, "test")
}

// Guards against a region whose daemons all get the first state over the link between the regions: the
// seed refers the later ones to those that hold it.
func TestSeedRefersToDaemonsOfTheAskersRegion(t *testing.T) {
	view := fleetOf(t, 1).View()
	seed := newStateDaemon(t, "a", view)
	first, second, third := newStateDaemon(t, "b", nil, seed.address), newStateDaemon(t, "b", nil, seed.address), newStateDaemon(t, "b", nil, seed.address)
	state, err := first.AskState(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, seed.address, state.Source)
	first.hold(view)
	_, err = second.AskState(t.Context(), 0)
	require.ErrorIs(t, err, ErrReferred)
	state, err = second.AskState(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, first.address, state.Source)
	require.Equal(t, view.Revision, state.Revision)

	third.hold(view) // from the store
	third.AnnounceState(t.Context())
	fourth := newStateDaemon(t, "b", nil, seed.address)
	_, err = fourth.AskState(t.Context(), 0)
	require.ErrorIs(t, err, ErrReferred)
	require.ElementsMatch(t, []string{first.address, third.address}, fourth.states.referred)
	require.Equal(t, 1, seed.served)

	_, err = fourth.AskState(t.Context(), view.Revision)
	require.ErrorIs(t, err, ErrNoNewerState, "the daemon holds that revision already")
}

// Guards against a state that counts as current although its daemon has lost the store.
func TestStateTellsItsAge(t *testing.T) {
	seed := newStateDaemon(t, "a", fleetOf(t, 1).View())
	seed.states.age = func() time.Duration { return 7 * time.Second }
	state, err := newStateDaemon(t, "a", nil, seed.address).AskState(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, 7*time.Second, state.Age)
}
