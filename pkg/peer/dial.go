package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"mangoshed.example/mangoshed/core/model"
)

// keepAlive is the keep-alive period by distance. Each period costs about 100 bytes, so
// that distant links, where bytes are billed, have the longest one.
var keepAlive = [...]time.Duration{
	model.SameDataCentre: 15 * time.Second,
	model.SameRegion:     20 * time.Second,
	model.CrossRegion:    45 * time.Second,
}

// idleTimeout allows for one lost keep-alive and its retransmissions.
func idleTimeout(period time.Duration) time.Duration { return 2*period + 10*time.Second }

// Flow control windows. Control frames are small; the initial window lets one frame of
// a typical table pass without a window update.
const (
	initialWindow = 64 << 10
	maxWindow     = MaxFrameBytes + initialWindow
)

// baseConfig is common to both sides. Path MTU probes are off because they cost more
// than they save on links that carry small packets.
func baseConfig() *quic.Config {
	return &quic.Config{
		Versions:                       []quic.Version{quic.Version1},
		HandshakeIdleTimeout:           handshakeTimeout / 2,
		InitialStreamReceiveWindow:     initialWindow,
		MaxStreamReceiveWindow:         maxWindow,
		InitialConnectionReceiveWindow: initialWindow,
		MaxConnectionReceiveWindow:     maxWindow,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
		Tracer:                         traceAcks,
	}
}

// serverConfig sends no keep-alives of its own; the dialling side's suffice for both.
// The idle timeout in force is the smaller one of both sides.
func serverConfig() *quic.Config {
	config := baseConfig()
	config.MaxIncomingStreams = 1
	config.MaxIdleTimeout = idleTimeout(keepAlive[model.CrossRegion])
	return config
}

func clientConfig(distance model.Distance) *quic.Config {
	config := baseConfig()
	config.MaxIncomingStreams = -1
	config.KeepAlivePeriod = keepAlive[distance]
	config.MaxIdleTimeout = idleTimeout(keepAlive[distance])
	return config
}

// noConnectionID generates connection IDs of length zero: the socket of a dialled link
// serves that link only.
type noConnectionID struct{}

func (noConnectionID) GenerateConnectionID() (quic.ConnectionID, error) {
	return quic.ConnectionID{}, nil
}

func (noConnectionID) ConnectionIDLen() int { return 0 }

// dialling is a dial under way.
type dialling struct {
	instance model.Instance
	ctx      context.Context
	cancel   context.CancelFunc
}

// dial runs a dial and then its link.
func (t *Transport) dial(d *dialling) {
	defer d.cancel()
	l, err := t.connect(d)
	if err != nil {
		cause := classify(d.instance.ID, err)
		if cause.Kind == KindSuperseded {
			t.awaitPeer(d)
		}
		t.dialFailed(d, cause)
		return
	}
	if t.established(d, l) {
		l.run()
	} else {
		l.abort(codeSuperseded, "the other dial takes precedence")
	}
	l.release()
}

// awaitPeer waits until the peer's own link ends the dial, or for supersededWait.
func (t *Transport) awaitPeer(d *dialling) {
	timer := time.NewTimer(supersededWait)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-timer.C:
	}
}

// connect makes the connection, exchanges hellos and returns the link.
func (t *Transport) connect(d *dialling) (*link, error) {
	ctx, cancel := context.WithTimeout(d.ctx, handshakeTimeout)
	defer cancel()
	distance := t.cfg.Self.Place.DistanceTo(d.instance.Place)
	socket, err := t.openSocket(ctx, d.instance.ControlAddr, distance)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket, ConnectionIDGenerator: noConnectionID{}}
	release := func() {
		_ = transport.Close()
		t.closeSocket(socket)
	}
	conn, err := transport.Dial(withAckWatch(ctx), socket.remote, t.cfg.Identity.ClientTLS(d.instance.ID, Protocol), clientConfig(distance))
	if err != nil {
		var failed *quic.TransportError
		if errors.As(err, &failed) && failed.ErrorCode.IsCryptoError() && !failed.Remote {
			t.refuse(ReasonCertificate, socket.remote, err)
		}
		release()
		return nil, err
	}
	t.stats.handshakes.Add(1)
	stream, reader, answer, err := t.greet(ctx, d, conn)
	if err != nil {
		var malformed *frameError
		if errors.As(err, &malformed) {
			t.stats.malformed.Add(1)
			err = &Error{Kind: KindMalformed, Peer: d.instance.ID, Err: err}
		}
		_ = conn.CloseWithError(codeClosed, "hello")
		release()
		return nil, err
	}
	l := newLink(t, d.instance.ID, conn, stream, reader, answer)
	l.release = release
	return l, nil
}

// openSocket returns a socket that is connected to the peer's address.
func (t *Transport) openSocket(ctx context.Context, address string, distance model.Distance) (*ownSocket, error) {
	var dialer net.Dialer
	if local := t.socket.LocalAddr().(*net.UDPAddr); !local.IP.IsUnspecified() {
		dialer.LocalAddr = &net.UDPAddr{IP: local.IP, Zone: local.Zone}
	}
	conn, err := dialer.DialContext(ctx, "udp", address)
	if err != nil {
		return nil, err
	}
	s := &ownSocket{udpSocket: &udpSocket{conn.(*net.UDPConn)}, remote: conn.RemoteAddr(), class: &t.meter[distance]}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stop {
		_ = s.Close()
		return nil, net.ErrClosed
	}
	t.sockets[s] = struct{}{}
	return s, nil
}

func (t *Transport) closeSocket(s *ownSocket) {
	t.mu.Lock()
	delete(t.sockets, s)
	t.mu.Unlock()
	_ = s.Close()
}

// greet opens the stream, sends the hello and waits for the peer's. Only that answer
// proves that the peer accepted the certificate.
func (t *Transport) greet(ctx context.Context, d *dialling, conn *quic.Conn) (*quic.Stream, *bufio.Reader, hello, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, nil, hello{}, err
	}
	greeting, err := t.dialHello(d)
	if err != nil {
		return nil, nil, hello{}, err
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(0) })
	defer stop()
	if _, err := stream.Write(greeting); err != nil {
		return nil, nil, hello{}, err
	}
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	answer, err := readHello(reader)
	if ctx.Err() != nil && err != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return stream, reader, answer, err
}

// dialHello returns the hello of a dial that is still current. The check and the hello's
// sequence number are one step, so that a hello written after the peer's own link was
// admitted always means that this link was lost.
func (t *Transport) dialHello(d *dialling) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dials[d.instance.ID] != d {
		return nil, &Error{Kind: KindSuperseded, Peer: d.instance.ID, Err: errors.New("the peer connected")}
	}
	return t.newHello()
}

// established makes a dialled link the link to its peer, unless the dial was ended.
func (t *Transport) established(d *dialling, l *link) bool {
	t.order.Lock()
	defer t.order.Unlock()
	t.mu.Lock()
	current := t.dials[l.peer] == d && !t.stop
	if current {
		delete(t.dials, l.peer)
		t.register(l)
	}
	t.mu.Unlock()
	if current {
		l.up()
	}
	return current
}

// dialFailed reports a failed dial, unless a link of the peer's has taken its place.
func (t *Transport) dialFailed(d *dialling, cause *Error) {
	t.order.Lock()
	defer t.order.Unlock()
	t.mu.Lock()
	current := t.dials[d.instance.ID] == d
	if current {
		delete(t.dials, d.instance.ID)
	}
	t.mu.Unlock()
	if current {
		t.handler.LinkDown(d.instance.ID, cause)
	}
}
