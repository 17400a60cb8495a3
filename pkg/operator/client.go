package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mangoshed.example/mangoshed/core/routing"
	"mangoshed.example/mangoshed/pkg/audit"
)

const (
	// clientTimeout bounds a request of the client.
	clientTimeout = 10 * time.Second
	// maxAnswerBytes bounds an answer; 1,000 audit entries take less than 1 MB.
	maxAnswerBytes = 16 << 20
)

// notAdmin is the remedy for an answer of another kind of server.
const notAdmin = "check that the address is a daemon's listen.admin_address"

// Error reports an admin server that cannot be reached or that refuses a request.
type Error struct {
	Address string
	// Status is the HTTP status code, 0 if there was no answer.
	Status int
	Remedy string
	Err    error
}

// Error names the address, the cause and the remedy.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v; %s", e.Address, e.Err, e.Remedy) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client asks the admin server of one daemon. Its errors are of type *Error.
type Client struct {
	address string
	http    http.Client
}

// NewClient returns a client for a host:port.
func NewClient(address string) *Client {
	return &Client{address: address, http: http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Status returns the state of the daemon.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Get reads a JSON document of another kind of daemon into v.
func (c *Client) Get(ctx context.Context, path string, v any) error {
	return c.do(ctx, http.MethodGet, path, nil, v)
}

// Audit returns up to max entries of the trail, the newest first; 0 returns all.
func (c *Client) Audit(ctx context.Context, max int) ([]audit.Entry, error) {
	var entries []audit.Entry
	err := c.do(ctx, http.MethodGet, "/v1/audit", url.Values{"max": {strconv.Itoa(max)}}, &entries)
	return entries, err
}

// Explain returns how calls to a service are routed now.
func (c *Client) Explain(ctx context.Context, service string) (routing.Explanation, error) {
	var e routing.Explanation
	err := c.do(ctx, http.MethodGet, "/v1/explain", url.Values{"service": {service}}, &e)
	return e, err
}

// Drain starts a graceful shutdown of the daemon.
func (c *Client) Drain(ctx context.Context) error {
	var s Status
	return c.do(ctx, http.MethodPost, "/v1/drain", nil, &s)
}

// do makes one request and decodes its answer.
func (c *Client) do(ctx context.Context, method, path string, query url.Values, into any) error {
	failed := func(status int, remedy string, err error) error {
		return &Error{Address: c.address, Status: status, Remedy: remedy, Err: err}
	}
	if _, _, err := net.SplitHostPort(c.address); err != nil {
		return failed(0, "write the address as HOST:PORT, without a scheme", err)
	}
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return failed(0, "write the address as host:port", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return failed(0, "check that the daemon runs and that the address is its listen.admin_address", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return failed(resp.StatusCode, "try again", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var f failure
		if json.Unmarshal(data, &f) != nil || f.Problem == "" {
			f = failure{Problem: http.StatusText(resp.StatusCode), Remedy: notAdmin}
		}
		return failed(resp.StatusCode, f.Remedy, fmt.Errorf("status %d: %s", resp.StatusCode, f.Problem))
	}
	if err := json.Unmarshal(data, into); err != nil {
		return failed(resp.StatusCode, notAdmin, err)
	}
	return nil
}
