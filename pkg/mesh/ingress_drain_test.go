package mesh

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/catalog"
	"mangoshed.example/mangoshed/core/drain"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/core/route"
	"mangoshed.example/mangoshed/pkg/exchange"
)

// oneRoute returns a view with one route that has the timeout, and no instance.
func oneRoute(t *testing.T, timeout time.Duration) *catalog.View {
	table, err := route.New(1, []route.Route{{
		Name: "write", Host: "app", Prefix: "/", Kind: route.Unsafe, Timeout: timeout, Goal: time.Second, MaxAttempts: 1,
		Shares: []route.Share{{Service: "back", Weight: 1}},
	}}, []route.Service{{Name: "back"}}, route.Limits{})
	require.NoError(t, err)
	return &catalog.View{Table: table}
}

// newDrainIngress returns an ingress with one route, whose timeout is 1 s, and a guard that has the
// request "parent" in flight to its upstream.
func newDrainIngress(t *testing.T) *Ingress {
	fleet := NewFleet(zap.NewNop(), func(time.Time, *catalog.View) {})
	fleet.view.Store(oneRoute(t, time.Second))
	guard := NewGuard("127.0.0.1:1", Headers{RequestID: "Id"}, nil, newRequestLog(zap.NewNop(), 1))
	guard.runs.begin("parent", 0)
	return &Ingress{
		headers: Headers{RequestID: "Id"}, random: random{src: rand.New(rand.NewPCG(1, 1))}, fleet: fleet, sender: &Sender{guard: guard},
		parent: func(id string) (string, bool) { return "parent", id == "nested" },
	}
}

// rejectingPlan returns the plan of a drain in which new requests are already refused.
func rejectingPlan() *drain.Plan {
	plan := drain.New(time.Now().Add(-3*time.Second), 6*time.Second)
	return &plan
}

// accept passes a request with the ID and the body to the ingress.
func accept(i *Ingress, id string, body io.Reader) (*request, *refusal.Refusal) {
	r := httptest.NewRequest(http.MethodPost, "/x", body)
	r.Host = "app"
	r.Header.Set("Id", id)
	return i.accept(httptest.NewRecorder(), r, nil, time.Now())
}

// Guards against a new request that is accepted shortly before the daemon stops.
func TestRequestThatComesLateInAStopIsRefused(t *testing.T) {
	i := newDrainIngress(t)
	req, refused := accept(i, "new", nil)
	require.Nil(t, refused)
	require.NotNil(t, req)
	i.plan.Store(rejectingPlan())
	_, refused = accept(i, "new", nil)
	require.Equal(t, refusal.Leaving, refused.Kind)
	require.Equal(t, refusal.NotRun, refused.Run)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode())
}

// slowBody is an empty body whose Read calls a function first.
type slowBody struct{ onRead func() }

func (b slowBody) Read([]byte) (int, error) {
	b.onRead()
	return 0, io.EOF
}

// Guards against a request that arrives before new requests are refused and is still accepted when
// its body is complete only after that.
func TestRequestWhoseBodyComesLateInAStopIsRefused(t *testing.T) {
	i := newDrainIngress(t)
	_, refused := accept(i, "new", slowBody{func() { i.plan.Store(rejectingPlan()) }})
	require.Equal(t, refusal.Leaving, refused.Kind)
	require.Equal(t, refusal.NotRun, refused.Run)
}

// Guards against a request in flight that fails at the end of a drain because the nested requests
// that the upstream makes for it are refused.
func TestNestedRequestsAreAcceptedLateInADrain(t *testing.T) {
	i := newDrainIngress(t)
	i.plan.Store(rejectingPlan())
	req, refused := accept(i, "nested", nil)
	require.Nil(t, refused)
	require.True(t, req.job.Nested)

	// The timeout is 1 s. The process has 2.3 s left with the first plan and 0.8 s with the next.
	plan := drain.New(time.Now().Add(-4500*time.Millisecond), 6*time.Second)
	i.plan.Store(&plan)
	_, refused = accept(i, "nested", nil)
	require.Equal(t, refusal.Leaving, refused.Kind, "it could be aborted when the process ends")
}

// Guards against a response during a drain that lets its caller reuse the connection. This applies
// also if the request arrived before the drain.
func TestResponsesDuringADrainCloseTheirConnection(t *testing.T) {
	i := newDrainIngress(t)
	i.log = newRequestLog(zap.NewNop(), 1)
	var err error
	i.metrics, err = newMetrics(prometheus.NewRegistry())
	require.NoError(t, err)
	req, refused := accept(i, "early", nil)
	require.Nil(t, refused)
	i.plan.Store(rejectingPlan())
	for _, res := range []Result{
		{Response: &exchange.Response{Status: http.StatusOK, Header: http.Header{}}},
		{Refusal: notRun(refusal.Overloaded, "come back", time.Second)},
	} {
		w := httptest.NewRecorder()
		i.respond(w, httptest.NewRequest(http.MethodPost, "/x", nil), req, res)
		require.Equal(t, "close", w.Header().Get("Connection"))
	}
}
