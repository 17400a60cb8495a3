package operator

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/pkg/audit"
)

// fake is a Daemon whose state the test sets.
type fake struct {
	status Status
	drains int
}

func (f *fake) Status() Status { return f.status }
func (f *fake) Explain(service string) routing.Explanation {
	return routing.Explanation{Service: service}
}
func (f *fake) Drain() { f.drains++; f.status.State = "leaving" }
func (f *fake) Audit(max int) []audit.Entry {
	return []audit.Entry{{Kind: audit.Applied, Version: model.Version(max)}}
}

func serve(t *testing.T, d Daemon) (*Client, string) {
	registry := prometheus.NewRegistry()
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Name: "mangoshed_test"})
	registry.MustRegister(gauge)
	s, err := NewServer("127.0.0.1:0", d, registry)
	require.NoError(t, err)
	ended := make(chan error)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Shutdown(context.Background())
		require.NoError(t, <-ended)
	})
	return NewClient(s.Addr()), s.Addr()
}

func get(t *testing.T, address, path string) (int, string) {
	resp, err := http.Get("http://" + address + path)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

// Guards against a client and a server that disagree about paths, fields or verdicts.
func TestClientAndServer(t *testing.T) {
	d := &fake{status: Status{Instance: "shifts-1", Version: 7, State: "live", NotReady: "no version yet"}}
	client, address := serve(t, d)
	status, err := client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, d.status, status)
	entries, err := client.Audit(t.Context(), 5)
	require.NoError(t, err)
	require.Equal(t, model.Version(5), entries[0].Version)
	explanation, err := client.Explain(t.Context(), "shifts")
	require.NoError(t, err)
	require.Equal(t, "shifts", explanation.Service)
	_, err = client.Explain(t.Context(), "")
	require.ErrorContains(t, err, "use /v1/explain?service=NAME")

	code, body := get(t, address, "/readyz")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, body, "no version yet")
	d.status.Ready = true
	code, _ = get(t, address, "/readyz")
	require.Equal(t, http.StatusOK, code)
	code, _ = get(t, address, "/healthz")
	require.Equal(t, http.StatusOK, code)
	_, body = get(t, address, "/metrics")
	require.Contains(t, body, "mangoshed_test")
	code, body = get(t, address, "/v1/audit?max=many")
	require.Equal(t, http.StatusBadRequest, code)
	require.Contains(t, body, "use /v1/audit?max=20")
	code, _ = get(t, address, "/v1/nothing")
	require.Equal(t, http.StatusNotFound, code)
}

// Guards against a drain by a mere GET or by a web page in the operator's browser.
func TestDrainNeedsAPost(t *testing.T) {
	d := &fake{}
	client, address := serve(t, d)
	code, _ := get(t, address, "/v1/drain")
	require.GreaterOrEqual(t, code, 400)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/drain", nil)
	require.NoError(t, err)
	req.Header.Set("Origin", "http://page.example")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusForbidden, resp.StatusCode)
	require.Zero(t, d.drains)
	require.NoError(t, client.Drain(t.Context()))
	require.Equal(t, 1, d.drains)
}

// Guards against errors that do not say which daemon failed and what to do.
func TestUnreachableDaemonIsNamed(t *testing.T) {
	_, err := NewClient("127.0.0.1:1").Status(t.Context())
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Contains(t, err.Error(), "127.0.0.1:1")
	require.Contains(t, err.Error(), "listen.admin_address")
}
