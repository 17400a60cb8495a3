// Package peer carries control messages between daemons over QUIC with mutual TLS. A
// link is one connection with one bidirectional stream of length-prefixed frames. There
// is at most one link between two daemons, whichever side dialled.
package peer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"mangoshed.example/mangoshed/core/model"
	"mangoshed.example/mangoshed/pkg/identity"
)

// MaxFrameBytes is the largest frame.
const MaxFrameBytes = 1 << 20

// Protocol is the ALPN name of the control protocol.
const Protocol = "mangoshed-control/1"

const (
	// handshakeTimeout bounds a dial, and the time an accepted peer has for its hello.
	handshakeTimeout = 5 * time.Second
	// supersededWait is how long a dial that lost against the peer's own dial waits for
	// the latter to complete.
	supersededWait = 2 * time.Second
	// lingerTime is how long a closed link may take to deliver what was sent before.
	lingerTime = time.Second
	// maxLatest bounds the remembered hellos. Forgetting one costs at most a link that
	// ends at once.
	maxLatest = 4096
)

// Handler receives the events of links. Calls for one peer are in order: LinkUp, frames,
// LinkDown. A dial that fails is reported by LinkDown alone; a link that Close ends is
// not reported. Handlers must not block and may call Transport's methods only from
// another goroutine. Frame owns its data.
type Handler interface {
	LinkUp(model.InstanceID)
	LinkDown(model.InstanceID, error)
	Frame(model.InstanceID, []byte)
}

// Config configures a Transport.
type Config struct {
	// Self is the own instance; links to instances of other places count as farther.
	Self model.Instance
	// Listen is the UDP host:port to bind; default is Self.ControlAddr. Outgoing links
	// use the same host with ports of their own.
	Listen string
	// Identity proves the own instance and verifies peers.
	Identity *identity.Source
	// Log receives one line per refused peer and closed link.
	Log *zap.Logger
	// HandshakesPerSecond bounds accepted handshakes; default 50. A second's worth may
	// arrive at once.
	HandshakesPerSecond int
	// MaxLinks bounds the accepted links; default 1,024.
	MaxLinks int
	// QueueBytes bounds the unsent bytes of a link; a link that exceeds it is dropped;
	// default 4 MB.
	QueueBytes int
}

// Transport keeps the links of one daemon. Its methods do not block and are safe for
// concurrent use.
type Transport struct {
	cfg      Config
	handler  Handler
	nonce    uint64
	sequence atomic.Uint64
	limiter  *rate.Limiter
	refusals *rate.Limiter // bounds the log lines about refused peers

	socket   *sharedSocket
	server   *quic.Transport
	listener *quic.Listener
	meter    meter
	stats    stats

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// order serialises changes of links together with their handler calls, so that
	// LinkDown of an old link always precedes LinkUp of the next one to the same peer.
	order sync.Mutex
	mu    sync.Mutex // guards the fields below
	links map[model.InstanceID]*link
	dials map[model.InstanceID]*dialling
	// latest holds the last hello of each peer, beyond the life of its link.
	latest map[model.InstanceID]hello
	// sockets are the own sockets of dialled links and dials.
	sockets map[*ownSocket]struct{}
	stop    bool
}

// New binds the socket. It serves nothing until Start.
func New(cfg Config) (*Transport, error) {
	setDefaults(&cfg)
	address, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("control address %q: %w; write host:port of this instance in the settings", cfg.Listen, err)
	}
	udp, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("control address %q: %w; check that the address is this instance's and that the port is free", cfg.Listen, err)
	}
	t := &Transport{
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.HandshakesPerSecond), cfg.HandshakesPerSecond),
		// Ten lines a second name the peers during an incident without flooding the log.
		refusals: rate.NewLimiter(10, 10),
		links:    make(map[model.InstanceID]*link), dials: make(map[model.InstanceID]*dialling),
		latest: make(map[model.InstanceID]hello), sockets: make(map[*ownSocket]struct{}),
	}
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		_ = udp.Close()
		return nil, err
	}
	t.nonce = binary.LittleEndian.Uint64(seed[:])
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.socket = newSharedSocket(udp, &t.meter)
	return t, nil
}

func setDefaults(cfg *Config) {
	if cfg.Listen == "" {
		cfg.Listen = cfg.Self.ControlAddr
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.HandshakesPerSecond <= 0 {
		cfg.HandshakesPerSecond = 50
	}
	if cfg.MaxLinks <= 0 {
		cfg.MaxLinks = 1024
	}
	if cfg.QueueBytes <= 0 {
		cfg.QueueBytes = 4 << 20
	}
}

// Addr returns the bound address.
func (t *Transport) Addr() string { return t.socket.LocalAddr().String() }

// Start accepts links and reports events to h. It is called once.
func (t *Transport) Start(h Handler) error {
	t.handler = h
	t.server = t.serverTransport()
	listener, err := t.server.Listen(t.serverTLS(), serverConfig())
	if err != nil {
		return err
	}
	t.listener = listener
	t.tasks.Go(t.accept)
	return nil
}

// Dial connects to an instance's daemon. The outcome is reported by LinkUp or LinkDown.
// It does nothing while a link or a dial to the instance exists.
func (t *Transport) Dial(instance model.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stop || t.links[instance.ID] != nil || t.dials[instance.ID] != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	d := &dialling{instance: instance, ctx: ctx, cancel: cancel}
	t.dials[instance.ID] = d
	t.tasks.Go(func() { t.dial(d) })
}

// Send queues a frame. It returns an *Error if there is no link, if the frame is empty
// or larger than 1 MB, or if the queue is full; the link is dropped in the last case.
func (t *Transport) Send(peer model.InstanceID, data []byte) error {
	t.mu.Lock()
	l := t.links[peer]
	t.mu.Unlock()
	if l == nil {
		return &Error{Kind: KindClosed, Peer: peer, Err: errors.New("no link")}
	}
	if len(data) == 0 || len(data) > MaxFrameBytes {
		return &Error{Kind: KindMalformed, Peer: peer, Err: fmt.Errorf("a frame of %d bytes", len(data))}
	}
	err := l.send(data)
	if err != nil && err.Kind == KindOverflow {
		t.stats.overflows.Add(1)
		t.tasks.Go(func() { t.drop(l, err, codeOverflow) })
	}
	if err != nil {
		return err
	}
	return nil
}

// Close ends the link to a peer after its queue was sent, or the dial that is under way.
// No LinkDown follows, and a new Dial can be made at once.
func (t *Transport) Close(peer model.InstanceID, reason string) {
	t.order.Lock()
	defer t.order.Unlock()
	t.mu.Lock()
	l, d := t.links[peer], t.dials[peer]
	delete(t.links, peer)
	delete(t.dials, peer)
	t.mu.Unlock()
	if d != nil {
		d.cancel()
	}
	if l != nil {
		l.stopSending()
		l.silence(reason)
		l.finish()
	}
}

// Links returns the number of links.
func (t *Transport) Links() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links)
}

// Shutdown ends all links after their queues were sent, and releases the socket. When
// ctx ends earlier, it closes what is left at once.
func (t *Transport) Shutdown(ctx context.Context) {
	t.mu.Lock()
	t.stop = true
	links := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		links = append(links, l)
	}
	t.mu.Unlock()
	if t.listener != nil {
		_ = t.listener.Close()
	}
	t.cancel()
	for _, l := range links {
		t.end(l, &Error{Kind: KindClosed, Peer: l.peer, Err: errors.New("shutdown")})
		l.finish()
	}
	done := make(chan struct{})
	go func() {
		t.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		for _, l := range links {
			l.abort(codeClosed, "shutdown")
		}
		<-done
	}
	if t.server != nil {
		_ = t.server.Close()
	}
	_ = t.socket.Close()
}

// Kill releases all sockets without a word to the peers, as the death of the process
// would. It is for tests and the demo.
func (t *Transport) Kill() {
	t.mu.Lock()
	t.stop = true
	for s := range t.sockets {
		_ = s.Close()
	}
	t.mu.Unlock()
	_ = t.socket.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	t.Shutdown(ctx)
}
