package demo

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// replaceStride spreads the replaced instances over services and data centres.
	replaceStride = 3
	// maxDials bounds the daemons that a caller tries when one does not accept connections.
	maxDials = 4
)

// replaceInstances stops instances gracefully while callers call, one after the other, and
// starts a daemon for each again at other addresses.
func (r *run) replaceInstances(ctx context.Context, c *callers) error {
	f := &fleet{site: r.site}
	for n := range r.Replace {
		index := n * replaceStride % len(r.site.daemons)
		id := r.site.daemons[index].Self().ID
		started := time.Now()
		drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
		err := f.replace(drainCtx, index)
		cancel()
		if err != nil {
			return err
		}
		c.setTargets(r.site.targets())
		if err := r.awaitReady(ctx); err != nil {
			return err
		}
		r.report.Replaced++
		r.Progress("%s was stopped and is ready again after %.0f ms", id, millis(time.Since(started)))
	}
	return nil
}

// setTargets replaces the daemons that callers know.
func (c *callers) setTargets(targets []target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = targets
}

// send sends a request to a daemon, and to another one when it accepts no connection: the
// request has not left the caller then.
func (c *callers) send(req *http.Request) (*http.Response, error) {
	resp, err := c.client.Do(req)
	for dials := 1; dials < maxDials && notConnected(err); dials++ {
		again := req.Clone(req.Context())
		again.URL.Host = c.nextAddress(req.URL.Host)
		if req.GetBody != nil {
			if again.Body, err = req.GetBody(); err != nil {
				return nil, err
			}
		}
		req = again
		resp, err = c.client.Do(req)
	}
	return resp, err
}

// nextAddress returns the address that follows another one among the known daemons.
func (c *callers) nextAddress(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, t := range c.targets {
		if t.address == address {
			return c.targets[(i+1)%len(c.targets)].address
		}
	}
	return c.targets[0].address
}

// notConnected reports that no connection could be made.
func notConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
