package platform

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// RevisionHeader carries the revision of the value or list in every 200 and 304 answer.
const RevisionHeader = "Platform-Revision"

// Paths of the protocol, below the base address.
const (
	ValuesPath    = "/v1/values/"
	InstancesPath = "/v1/instances"
)

// HTTPConfig configures an HTTP client of the platform.
type HTTPConfig struct {
	// BaseURL is the address of the platform, for example http://10.0.0.1:8500.
	BaseURL string
	// HoldTime is how long the platform holds a watch; default 25 s.
	HoldTime time.Duration
	// Timeout bounds each call, on top of the hold time of a watch; default 3 s.
	Timeout time.Duration
	// TLS is used for https addresses; nil takes the defaults of crypto/tls.
	TLS *tls.Config
	// Transport replaces the connection pool, for tests.
	Transport http.RoundTripper
}

// HTTP is the HTTP implementation of Client.
type HTTP struct {
	base      *url.URL
	hold      time.Duration
	timeout   time.Duration
	transport http.RoundTripper
	pool      *http.Transport // nil when the configuration replaces the transport
	lists     listCache
}

// NewHTTP returns a client. It makes no call.
func NewHTTP(cfg HTTPConfig) (*HTTP, error) {
	base, err := url.Parse(strings.TrimSuffix(cfg.BaseURL, "/"))
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, fmt.Errorf("platform address %q is not an http or https URL; write http://host:port", cfg.BaseURL)
	}
	c := &HTTP{base: base, hold: cfg.HoldTime, timeout: cfg.Timeout, transport: cfg.Transport}
	if c.hold <= 0 {
		c.hold = 25 * time.Second
	}
	if c.timeout <= 0 {
		c.timeout = 3 * time.Second
	}
	if c.transport == nil {
		// A daemon has at most two watches and one read at a time.
		c.pool = &http.Transport{TLSClientConfig: cfg.TLS, MaxIdleConnsPerHost: 3, IdleConnTimeout: 90 * time.Second}
		c.transport = c.pool
	}
	return c, nil
}

// Close closes idle connections.
func (c *HTTP) Close() {
	if c.pool != nil {
		c.pool.CloseIdleConnections()
	}
}

// Read implements Client.
func (c *HTTP) Read(ctx context.Context, key string) (Value, error) {
	a, err := c.call(ctx, "read", key, ValuesPath+key, nil, 0)
	return Value{Data: a.data, Revision: a.revision}, err
}

// Watch implements Client.
func (c *HTTP) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	a, err := c.call(ctx, "watch", key, ValuesPath+key, waitQuery(after, c.hold), c.hold)
	return Value{Data: a.data, Revision: a.revision}, err
}

// waitQuery returns the parameters of a conditional call; hold is 0 for one that does
// not wait.
func waitQuery(after uint64, hold time.Duration) url.Values {
	q := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if hold > 0 {
		q.Set("hold_ms", strconv.FormatInt(hold.Milliseconds(), 10))
	}
	return q
}

// answer is a 200 answer.
type answer struct {
	data     []byte
	revision uint64
}

// call makes one GET request and maps its outcome to an answer or a typed error.
func (c *HTTP) call(ctx context.Context, op, key, path string, query url.Values, hold time.Duration) (answer, error) {
	fail := func(kind Kind, err error) (answer, error) {
		return answer{}, &Error{Kind: kind, Op: op, Key: key, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, hold+c.timeout)
	defer cancel()
	target := *c.base
	target.Path += path
	target.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return fail(Malformed, err)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return fail(Unavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp, op, key); err != nil {
		return answer{}, err
	}
	revision, err := strconv.ParseUint(resp.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return fail(Malformed, fmt.Errorf("header %s: %w", RevisionHeader, err))
	}
	if resp.StatusCode == http.StatusNotModified {
		return answer{}, &NotModified{Revision: revision}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return fail(Unavailable, err)
	}
	if len(data) > MaxValueBytes {
		return fail(TooLarge, errors.New("the answer is larger than 1 MB"))
	}
	return answer{data: data, revision: revision}, nil
}

// statusError returns the typed error of an answer other than 200 and 304.
func statusError(resp *http.Response, op, key string) error {
	e := &Error{Op: op, Key: key, Status: resp.StatusCode}
	switch code := resp.StatusCode; {
	case code == http.StatusOK || code == http.StatusNotModified:
		return nil
	case code == http.StatusTooManyRequests:
		e.Kind = RateLimited
	case code == http.StatusNotFound:
		e.Kind = NotFound
	case code == http.StatusRequestEntityTooLarge:
		e.Kind = TooLarge
	case code >= 500 || code == http.StatusConflict:
		e.Kind = Unavailable
	default:
		e.Kind = Malformed
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}
