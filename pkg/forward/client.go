package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/core/refusal"
	"mangoshed.example/mangoshed/pkg/identity"
)

const (
	// idleConn is the time after which an unused connection is closed.
	idleConn = 45 * time.Second
	// dialTimeout covers connection and TLS handshake. Regions are 8 ms apart; a
	// second allows for two lost packets.
	dialTimeout = time.Second
	// maxConns bounds the connections to one peer. Each carries up to maxStreams calls.
	maxConns = 4
	// busyConn is the number of calls on a connection from which on another one is
	// opened: encryption and framing of one connection run on one core at a time.
	busyConn = 3
	// maxPeers bounds the peers with connections; the least recently used idle one
	// goes first.
	maxPeers = 512
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Identity *identity.Source
	// DialTimeout bounds connecting, TLS handshake included. Default: 1 s.
	DialTimeout time.Duration
	// Dial opens TCP connections. Default: a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Log takes the causes of failed calls, at most one line per second. Default: none.
	Log *zap.Logger
}

// Client sends calls to the daemons beside other instances. It never sends a call
// twice: each call goes to one connection, by net/http's ClientConn, which has no
// retries of its own.
type Client struct {
	config ClientConfig
	log    rate.Sometimes
	mu     sync.Mutex
	peers  map[peerKey]*peer
	closed bool
}

// logInterval is the least time between two lines about failed calls: during an incident
// thousands fail each second for the same reason.
const logInterval = time.Second

// peerKey includes the address, because an instance can come back elsewhere.
type peerKey struct {
	id   model.InstanceID
	addr string
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	if config.DialTimeout == 0 {
		config.DialTimeout = dialTimeout
	}
	if config.Dial == nil {
		config.Dial = new(net.Dialer).DialContext
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	return &Client{config: config, log: rate.Sometimes{Interval: logInterval}, peers: make(map[peerKey]*peer)}
}

// RoundTrip sends the request to the daemon beside the instance. It owns the request
// and its header from then on; the path, query, Host, header and body are used. Failures
// are *Error; an answer of the peer is returned as it is, refusals included.
func (c *Client) RoundTrip(inst *model.Instance, req *http.Request) (*http.Response, error) {
	resp, err := c.roundTrip(inst, req)
	if err != nil && req.Context().Err() == nil {
		c.report(inst, err)
	}
	return resp, err
}

// report logs the cause of a failed call, which the caller's refusal does not name.
func (c *Client) report(inst *model.Instance, err error) {
	var failed *Error
	if !errors.As(err, &failed) {
		return
	}
	c.log.Do(func() {
		c.config.Log.Warn("forward_failed", zap.String("instance", string(inst.ID)), zap.String("address", inst.ForwardAddr),
			zap.String("kind", string(failed.Kind)), zap.String("run", failed.Run.String()), zap.Error(failed.Err))
	})
}

func (c *Client) roundTrip(inst *model.Instance, req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	link, err := c.link(ctx, inst)
	if err != nil {
		closeBody(req)
		return nil, notSent(ctx, err)
	}
	SetRemaining(ctx, req.Header, time.Now())
	target := *req.URL
	target.Scheme, target.Host = "https", inst.ForwardAddr
	req.URL = &target
	if req.Body == nil || req.ContentLength == 0 {
		req.Body, req.ContentLength = http.NoBody, 0
	}
	req.GetBody = nil
	// A caller that closes its own connection must not end the one that others share.
	req.Close = false
	written := link.written()
	resp, err := link.conn.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	// After the end of the context the library may still be writing; otherwise it
	// has finished with the request when RoundTrip returns.
	if ctx.Err() == nil && (link.written() == written || neverTaken(err)) {
		return nil, notSent(ctx, err)
	}
	return nil, sent(ctx, err)
}

// Close closes all connections and cuts the calls on them.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = nil
	c.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}

// PostPeer sends a message to the daemon beside the instance, under PeerPath.
func (c *Client) PostPeer(ctx context.Context, inst *model.Instance, path string, header http.Header, body []byte) (*http.Response, error) {
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: PeerPath + path}, Header: header.Clone(), Host: string(inst.ID),
		ContentLength: int64(len(body)), Body: newBytesBody(body), Proto: "HTTP/2.0", ProtoMajor: 2,
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	return c.RoundTrip(inst, req.WithContext(ctx))
}

func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}

var errClosed = errors.New("the client is closed")

// link returns a connection with a reserved stream.
func (c *Client) link(ctx context.Context, inst *model.Instance) (*link, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	key := peerKey{id: inst.ID, addr: inst.ForwardAddr}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	p, ok := c.peers[key]
	if !ok {
		c.evict()
		p = &peer{key: key, config: c.config}
		c.peers[key] = p
	}
	c.mu.Unlock()
	return p.reserve(ctx)
}

// evict makes room for one more peer. Peers with calls in flight stay.
func (c *Client) evict() {
	if len(c.peers) < maxPeers {
		return
	}
	var oldest *peer
	for _, p := range c.peers {
		if !p.busy() && (oldest == nil || p.used.Load() < oldest.used.Load()) {
			oldest = p
		}
	}
	if oldest != nil {
		delete(c.peers, oldest.key)
		oldest.retire()
	}
}

// notSent makes the error of a call of which nothing was handed to a connection, or
// that the peer itself declined.
func notSent(ctx context.Context, err error) *Error {
	e := &Error{Err: err, Broken: true}
	e.Refusal = refusal.Refusal{Kind: refusal.UpstreamFailed, Run: refusal.NotRun, Remedy: "the daemon beside the instance cannot be reached; try again"}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Broken = false
		e.Kind, e.Remedy = refusal.Deadline, "allow more time"
	case ctx.Err() != nil:
		e.Broken = false
		e.Kind, e.Remedy = refusal.Cut, "the caller gave up"
	case isGoAway(err):
		e.Broken = false
		e.Kind, e.Remedy = refusal.Leaving, "the instance leaves; try again"
	}
	return e
}

// sent makes the error of a call that can have reached the peer.
func sent(ctx context.Context, err error) *Error {
	e := &Error{Err: err, Broken: true}
	e.Refusal = refusal.Refusal{Kind: refusal.Cut, Run: refusal.MayHaveRun, Remedy: "the connection broke before the answer; check the outcome before you repeat the request"}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Broken = false
		e.Kind, e.Remedy = refusal.Deadline, "no answer in time; check the outcome before you repeat the request"
	case ctx.Err() != nil:
		e.Broken = false
		e.Remedy = "the caller gave up"
	}
	return e
}

// streamError has the fields of net/http's error for one stream, which converts itself
// to such a struct in errors.As.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

func (streamError) Error() string { return "" }

const refusedStream = 7 // RFC 9113, section 7: not processed by the peer

// neverTaken reports whether the connection was unusable before the first byte, or the
// peer said that it did not process the stream. net/http does not export the first
// errors; an unknown text counts as taken.
func neverTaken(err error) bool {
	var reset streamError
	if errors.As(err, &reset) {
		return reset.Code == refusedStream
	}
	switch err.Error() {
	case "http2: client conn not usable", "http2: client conn could not be established":
		return true
	}
	return isGoAway(err)
}

// isGoAway reports whether the peer's GOAWAY names the stream as not processed.
func isGoAway(err error) bool {
	return err.Error() == "http2: Transport received Server's graceful shutdown GOAWAY"
}

// counter counts the bytes handed to a connection.
type counter struct {
	net.Conn
	n atomic.Int64
}

// Write counts before it writes, so that a partial write never looks like none.
func (c *counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}
