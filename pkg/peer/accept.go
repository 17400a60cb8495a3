package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/identity"
)

// Reason classes refused peers.
type Reason uint8

// Reasons of refusals.
const (
	ReasonCertificate Reason = iota // none, not valid, or not of an instance
	ReasonRate                      // more handshakes per second than allowed
	ReasonLinks                     // more links than allowed
	ReasonHello                     // no proper hello in time
	reasonCount
)

// String returns the label that metrics use.
func (r Reason) String() string {
	return [...]string{"certificate", "rate", "links", "hello"}[r]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonCertificate, ReasonRate, ReasonLinks, ReasonHello}
}

// stats counts rare events.
type stats struct {
	refused    [reasonCount]atomic.Uint64
	malformed  atomic.Uint64
	overflows  atomic.Uint64
	handshakes atomic.Uint64
}

// Refused returns the number of peers refused for a reason.
func (t *Transport) Refused(r Reason) uint64 { return t.stats.refused[r].Load() }

// Malformed returns the number of links closed because of a malformed frame.
func (t *Transport) Malformed() uint64 { return t.stats.malformed.Load() }

// Overflows returns the number of links dropped because their queue was full.
func (t *Transport) Overflows() uint64 { return t.stats.overflows.Load() }

// Handshakes returns the number of completed handshakes, dialled and accepted.
func (t *Transport) Handshakes() uint64 { return t.stats.handshakes.Load() }

// refuse counts and logs a refused peer.
func (t *Transport) refuse(r Reason, address net.Addr, err error) {
	t.stats.refused[r].Add(1)
	if t.refusals.Allow() {
		t.cfg.Log.Warn("peer_refused", zap.Stringer("reason", r), zap.Stringer("address", address), zap.Error(err))
	}
}

// serverTransport admits handshakes at the configured rate. Above half the rate, peers
// prove their address first, so that forged addresses cannot use up the rate.
func (t *Transport) serverTransport() *quic.Transport {
	return &quic.Transport{
		Conn:                t.socket,
		VerifySourceAddress: func(net.Addr) bool { return t.limiter.Tokens() < float64(t.cfg.HandshakesPerSecond)/2 },
		ConnContext: func(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
			address := addrPort(info.RemoteAddr)
			if !t.limiter.Allow() {
				err := fmt.Errorf("more than %d handshakes per second", t.cfg.HandshakesPerSecond)
				t.refuse(ReasonRate, info.RemoteAddr, err)
				t.socket.forget(address)
				return nil, err
			}
			context.AfterFunc(ctx, func() { t.socket.forget(address) })
			return withAckWatch(ctx), nil
		},
	}
}

// serverTLS returns a configuration that counts every refused certificate. Clients
// without one pass the first check of crypto/tls, so that VerifyConnection sees them.
func (t *Transport) serverTLS() *tls.Config {
	config := t.cfg.Identity.ServerTLS(Protocol)
	config.GetConfigForClient = func(info *tls.ClientHelloInfo) (*tls.Config, error) {
		c := t.cfg.Identity.ServerTLS(Protocol)
		verify := c.VerifyConnection
		c.ClientAuth = tls.RequestClientCert
		c.VerifyConnection = func(state tls.ConnectionState) error {
			err := verify(state)
			if err == nil {
				_, err = t.instanceOf(state)
			}
			if err != nil {
				t.refuse(ReasonCertificate, info.Conn.RemoteAddr(), err)
			}
			return err
		}
		return c, nil
	}
	return config
}

// instanceOf returns the instance that a verified certificate names.
func (t *Transport) instanceOf(state tls.ConnectionState) (model.InstanceID, error) {
	holder, err := identity.PeerOf(state)
	switch {
	case err != nil:
		return "", err
	case holder.Instance == "":
		return "", fmt.Errorf("%s is not an instance; only daemons may connect to the control port", holder)
	case holder.Instance == t.cfg.Self.ID:
		return "", errors.New("the peer has this daemon's own certificate; issue one certificate for each instance")
	}
	return holder.Instance, nil
}

// accept serves incoming connections until the listener is closed.
func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept(context.Background())
		if err != nil {
			return
		}
		t.tasks.Go(func() { t.serve(conn) })
	}
}

// serve runs an accepted connection.
func (t *Transport) serve(conn *quic.Conn) {
	t.stats.handshakes.Add(1)
	peer, err := t.instanceOf(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(codeRefused, "certificate")
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		t.refuse(ReasonHello, conn.RemoteAddr(), err)
		_ = conn.CloseWithError(codeRefused, "no stream")
		return
	}
	_ = stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	stop := context.AfterFunc(t.ctx, func() { stream.CancelRead(0) })
	defer stop()
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	greeting, err := readHello(reader)
	if err != nil {
		t.refuse(ReasonHello, conn.RemoteAddr(), err)
		_ = conn.CloseWithError(codeMalformed, "hello")
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if !stop() { // the daemon shuts down
		_ = conn.CloseWithError(codeClosed, "shutdown")
		return
	}
	t.socket.attribute(addrPort(conn.RemoteAddr()), t.cfg.Self.Place.DistanceTo(greeting.place()))
	l := newLink(t, peer, conn, stream, reader, greeting)
	cancel()
	if code, reason := t.admit(l); reason != "" {
		if code == codeRefused {
			t.refuse(ReasonLinks, conn.RemoteAddr(), errors.New(reason))
		}
		_ = conn.CloseWithError(code, reason)
		return
	}
	l.run()
}

// admit makes an accepted link the link to its peer, or returns why it is refused.
//
// Two daemons can dial each other at the same moment. The dial of the daemon with the
// smaller ID then takes precedence. A hello that the peer wrote before the hello of a
// later link belongs to such a dial as well. Any other accepted link replaces the
// existing one, because the peer must have lost that one.
func (t *Transport) admit(l *link) (quic.ApplicationErrorCode, string) {
	t.order.Lock()
	defer t.order.Unlock()
	t.mu.Lock()
	old, own := t.links[l.peer], t.dials[l.peer]
	switch {
	case t.stop:
		t.mu.Unlock()
		return codeClosed, "shutdown"
	case own != nil && t.cfg.Self.ID < l.peer:
		t.mu.Unlock()
		return codeSuperseded, "the other dial takes precedence"
	case t.latest[l.peer].Nonce == l.hello.Nonce && t.latest[l.peer].Sequence > l.hello.Sequence:
		t.mu.Unlock()
		return codeSuperseded, "a newer link existed"
	case old == nil && len(t.links) >= t.cfg.MaxLinks:
		t.mu.Unlock()
		return codeRefused, "too many links"
	}
	greeting, err := t.newHello()
	if err != nil {
		t.mu.Unlock()
		return codeRefused, err.Error()
	}
	if own != nil {
		own.cancel()
		delete(t.dials, l.peer)
	}
	t.register(l)
	t.mu.Unlock()
	if old != nil {
		old.down(&Error{Kind: KindReplaced, Peer: l.peer, Err: errors.New("the peer connected anew")})
		t.tasks.Go(func() { old.abort(codeReplaced, "replaced") })
	}
	l.sendRaw(greeting)
	l.up()
	return 0, ""
}

// register makes l the link to its peer. The caller holds the mutex.
func (t *Transport) register(l *link) {
	t.links[l.peer] = l
	if len(t.latest) >= maxLatest {
		clear(t.latest)
	}
	t.latest[l.peer] = l.hello
}
